//! The gossip socket: sends pulls at intervals, and verifies, decodes and answers datagrams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, rng, seq::IndexedRandom};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use crate::{
    board::Vm,
    config::Digest,
    feed::Reading,
    fleet::{
        codec::{MembersRequest, News, Packet, Pull, Record, ServiceDemand, packet},
        gossip::{answer_pull, decode, encode},
    },
    node::{
        Core, NewerGeneration, Shared,
        rollouts::{decode_rollouts, encode_rollouts},
    },
};

/// How often a node pulls from another one.
pub const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// One pull in this many, on average, goes to a known address that need not be alive.
const EXPLORE_ONE_IN: u32 = 8;

/// Timeout of a call for records, and the delay before the next such call.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
const CATCH_UP_DELAY: Duration = Duration::from_secs(1);

/// Number of nodes that a departure of a target is sent to at once.
const DEPARTURE_PEERS: usize = 4;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_535;

/// How often the delegate of a data centre pulls from the other data centres.
pub const REMOTE_PULL_INTERVAL: Duration = Duration::from_millis(1_000);

/// The same while a roll-out runs, whose verdict needs reports from all data centres.
const ROLLOUT_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Pulls from other nodes until the process ends.
pub async fn pull(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut last_remote = core.clock.now();
    loop {
        let jitter = rng().random_range(0.8..1.2);
        let woken = timeout(PULL_INTERVAL.mul_f64(jitter), core.gossip_now.notified()).await;
        let now = core.clock.now();
        // With a feed, only the delegate and a node that is shutting down spread all changes at once.
        let mut peers: Vec<SocketAddr> = match (core.feed.is_some(), woken.is_ok()) {
            (false, _) => choose_peer(&core).into_iter().collect(),
            (true, false) => choose_local_peer(&core).into_iter().collect(),
            (true, true) if core.shutting_down() || is_delegate(&core) => local_peers(&core),
            // Other nodes have to hold a departure even if this one ends right after its acknowledgement.
            (true, true) if core.take_new_departure() => some_local_peers(&core),
            (true, true) => Vec::new(),
        };
        let interval = match core.is_rolling_out() {
            true => ROLLOUT_PULL_INTERVAL,
            false => REMOTE_PULL_INTERVAL,
        };
        let remote_due = woken.is_ok() || now >= last_remote + interval;
        if core.feed.is_some() && remote_due && is_delegate(&core) {
            last_remote = now;
            peers.extend(choose_remote_peers(&core));
        }
        for peer in peers {
            let datagram = encode_pull(&core, is_own_delegate(&core, peer));
            // A datagram that can't be sent counts as lost; the next pull chooses a peer anew.
            let _ = socket.send_to(&datagram, peer).await;
        }
    }
}

/// Returns the addresses of a data centre's live nodes, without this one.
fn alive_in<'s>(core: &Core, shared: &'s Shared, centre: &str) -> Vec<&'s str> {
    vms_in(shared, centre)
        .filter(|vm| vm.alive && *vm.address != *core.address)
        .map(|vm| &*vm.address)
        .collect()
}

/// Returns the known VMs of a data centre.
fn vms_in<'s>(shared: &'s Shared, centre: &str) -> impl Iterator<Item = &'s Vm> {
    let in_centre = move |vm: &&Vm| *shared.board.data_centres[vm.data_centre].name == *centre;
    shared.board.vms.values().filter(in_centre)
}

/// Chooses a peer to pull from within this data centre: half of the time its delegate, which reads the
/// feed, otherwise any live node, and occasionally a known address that need not be alive. If no
/// address is known there, any listed node is chosen.
fn choose_local_peer(core: &Core) -> Option<SocketAddr> {
    let shared = core.shared();
    let centre = core.settings.data_centre.as_str();
    let alive = alive_in(core, &shared, centre);
    let explore = alive.is_empty() || rng().random_ratio(1, EXPLORE_ONE_IN);
    if explore {
        let not_alive = |vm: &&str| **vm != *core.address && !alive.contains(vm);
        let seeds = shared.seeds.iter();
        let local = seeds.clone().filter(|s| s.centre == centre);
        let listed = local.map(|s| s.address.as_str());
        let peers = core.settings.peers.iter().map(String::as_str);
        // A node of this data centre may be known only by a record that another data centre relayed.
        let recorded = vms_in(&shared, centre).map(|vm| &*vm.address);
        let local = listed.chain(peers).chain(recorded);
        let local: Vec<&str> = local.filter(not_alive).collect();
        let all: Vec<&str> = seeds
            .map(|s| s.address.as_str())
            .filter(not_alive)
            .collect();
        let candidates = match local.is_empty() && alive.is_empty() {
            true => &all,
            false => &local,
        };
        if let Some(vm) = candidates.choose(&mut rng()) {
            return vm.parse().ok();
        }
    }
    let delegate = shared.delegate(centre).filter(|d| *d != core.address);
    if let Some(delegate) = delegate
        && rng().random_ratio(1, 2)
    {
        return delegate.parse().ok();
    }
    alive.choose(&mut rng())?.parse().ok()
}

fn local_peers(core: &Core) -> Vec<SocketAddr> {
    let shared = core.shared();
    let local = alive_in(core, &shared, &core.settings.data_centre);
    local.iter().filter_map(|vm| vm.parse().ok()).collect()
}

fn some_local_peers(core: &Core) -> Vec<SocketAddr> {
    let peers = local_peers(core);
    let chosen = peers.choose_multiple(&mut rng(), DEPARTURE_PEERS);
    chosen.copied().collect()
}

/// Returns whether this node is the delegate of its data centre.
fn is_delegate(core: &Core) -> bool {
    let delegate = core.shared().delegate(&core.settings.data_centre);
    delegate.as_deref() == Some(&*core.address)
}

/// Chooses one node of each other data centre: the live one with the lowest address, or occasionally,
/// and if none is alive, any listed one.
fn choose_remote_peers(core: &Core) -> Vec<SocketAddr> {
    let shared = core.shared();
    let own = core.settings.data_centre.as_str();
    let mut centres: Vec<&str> = shared
        .board
        .data_centres
        .values()
        .map(|c| &*c.name)
        .collect();
    centres.extend(shared.seeds.iter().map(|s| s.centre.as_str()));
    centres.sort_unstable();
    centres.dedup();
    let others = centres.iter().filter(|c| **c != own);
    let mut out = Vec::new();
    for centre in others {
        let alive = alive_in(core, &shared, centre);
        let seeds = shared.seeds.iter().filter(|s| s.centre == *centre);
        let seeds: Vec<&str> = seeds.map(|s| s.address.as_str()).collect();
        let explore = alive.is_empty() || rng().random_ratio(1, EXPLORE_ONE_IN);
        let candidates = if explore && !seeds.is_empty() {
            &seeds
        } else {
            &alive
        };
        let chosen = match explore {
            true => candidates.choose(&mut rng()).copied(),
            false => candidates.iter().min().copied(),
        };
        out.extend(chosen.and_then(|vm| vm.parse::<SocketAddr>().ok()));
    }
    out
}

/// Returns whether an address is that of the delegate of this data centre.
fn is_own_delegate(core: &Core, peer: SocketAddr) -> bool {
    let delegate = core.shared().delegate(&core.settings.data_centre);
    delegate.is_some_and(|d| d.parse() == Ok(peer))
}

/// Encodes a pull; one to the own delegate reports the demand at this node.
fn encode_pull(core: &Core, reports: bool) -> Vec<u8> {
    let mut shared = core.shared();
    let now = core.clock.now();
    let shared = &mut *shared;
    let Some(own) = shared.members.get(&core.address).cloned() else {
        return Vec::new();
    };
    let recalls = core.recalls_departures(shared.freshness.started(), now);
    let mut packet = shared
        .gossip
        .create_pull(&own, &shared.members, recalls, now);
    if let Some(packet::Body::Pull(pull)) = &mut packet.body {
        pull.rollouts = encode_rollouts(&shared.rollouts, now);
        pull.reports = core.admission.reports();
        if reports && core.crossing.is_enabled() {
            pull.demands = own_demands(core, now);
        }
    }
    sign(core, &packet)
}

fn own_demands(core: &Core, now: Instant) -> Vec<ServiceDemand> {
    let targets = core.admission.demands(now);
    core.crossing.own_demands(targets, now)
}

/// Encodes and signs a packet, and counts its bytes as gossip.
fn sign(core: &Core, packet: &Packet) -> Vec<u8> {
    let datagram = core.settings.secret.sign(&encode(packet));
    core.metrics.record_gossip(datagram.len());
    datagram
}

/// Chooses a peer to pull from: mostly a live VM, occasionally any known address.
fn choose_peer(core: &Core) -> Option<SocketAddr> {
    let shared = core.shared();
    let alive: Vec<&str> = shared
        .board
        .vms
        .values()
        .filter(|vm| vm.alive && *vm.address != *core.address)
        .map(|vm| &*vm.address)
        .collect();
    let explore = alive.is_empty() || rng().random_ratio(1, EXPLORE_ONE_IN);
    if !explore {
        return alive.choose(&mut rng())?.parse().ok();
    }
    let records = shared.members.records().map(|r| r.vm.as_str());
    let peers = core.settings.peers.iter().map(String::as_str);
    let roster = shared.freshness.roster().iter().map(String::as_str);
    let seeds = shared.seeds.iter().map(|s| s.address.as_str());
    let all: Vec<&str> = records
        .chain(peers)
        .chain(roster)
        .chain(seeds)
        .filter(|vm| *vm != &*core.address)
        .collect();
    all.choose(&mut rng())?.parse().ok()
}

/// Receives and answers datagrams until the process ends.
pub async fn receive(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        for reply in handle_datagram(&core, &buffer[..size]) {
            let _ = socket.send_to(&reply, from).await;
        }
    }
}

/// Handles one datagram, and returns the datagrams to send back. An unauthenticated or malformed
/// datagram is counted and dropped.
fn handle_datagram(core: &Core, datagram: &[u8]) -> Vec<Vec<u8>> {
    core.metrics.record_gossip(datagram.len());
    let content = core.settings.secret.verify(datagram).ok();
    let packet = content.and_then(|c| decode(c).ok());
    let Some(packet) = packet else {
        core.metrics.record_dropped_datagram();
        return Vec::new();
    };
    let now = core.clock.now();
    match packet.body {
        Some(packet::Body::Pull(pull)) => {
            let mut out = vec![signed_answer(core, &pull, now)];
            // A sender that holds a newer generation is pulled from at once.
            if core.feed.is_some() && pull.generation > core.shared().freshness.generation() {
                out.push(encode_pull(core, false));
            }
            out
        }
        Some(packet::Body::News(news)) => {
            apply_news(core, &news, now);
            Vec::new()
        }
        None => Vec::new(),
    }
}

/// Answers a pull with a signed datagram, and applies the sender's record that the pull carries.
fn signed_answer(core: &Core, pull: &Pull, now: Instant) -> Vec<u8> {
    let mut shared = core.shared();
    let shared = &mut *shared;
    core.merge_rollouts(shared, &decode_rollouts(&pull.rollouts, now));
    shared.reports.record(&pull.reports, true, now);
    // A pull proves that its sender is alive, but only answers to pulls count for freshness.
    shared.freshness.record_sighting(&pull.from, now);
    if let Some(sender) = &pull.sender
        && shared.members.merge(sender)
    {
        shared.board.apply_record(sender);
        shared.dirty = true;
        core.render_now.notify_one();
    }
    let manifest = shared.manifest.map(|d| d.0.to_vec()).unwrap_or_default();
    let mut packet = answer_pull(
        pull,
        core.incarnation,
        &manifest,
        &mut shared.members,
        &shared.freshness,
        now,
    );
    if core.feed.is_some() {
        adapt_to_feed(core, shared, pull, &mut packet, now);
    }
    if core.crossing.is_enabled() {
        add_demands(core, shared, pull, &mut packet, now);
    }
    sign(core, &packet)
}

/// Records the demand that the sender of a pull reports. If this node is the delegate, adds the demand in all data
/// centres to the answer.
fn add_demands(core: &Core, shared: &Shared, pull: &Pull, packet: &mut Packet, now: Instant) {
    core.crossing.record_report(&pull.from, &pull.demands, now);
    let centre = core.settings.data_centre.as_str();
    if shared.delegate(centre).as_deref() != Some(&*core.address) {
        return;
    }
    let own = own_demands(core, now);
    core.crossing.record_report(&core.address, &own, now);
    core.crossing.add_up(centre, now);
    if let Some(packet::Body::News(news)) = &mut packet.body {
        news.demands = core.crossing.news(now);
    }
}

/// Adds the drained data centres and the roll-outs to an answer. In an answer to another data centre, keeps only the ages
/// of live VMs of this one.
fn adapt_to_feed(core: &Core, shared: &Shared, pull: &Pull, packet: &mut Packet, now: Instant) {
    let Some(packet::Body::News(news)) = &mut packet.body else {
        return;
    };
    news.drains_at = shared.drains_revision;
    news.drained.clone_from(&shared.drained);
    news.rollouts = encode_rollouts(&shared.rollouts, now);
    news.timeline = core.timeline();
    let own = core.settings.data_centre.as_str();
    let requester = shared.members.get(&pull.from);
    if requester.is_some_and(|record| record.data_centre != own) {
        let local = alive_in(core, shared, own);
        news.extras.retain(|e| local.contains(&e.vm.as_str()));
        news.reports = shared.reports.local(now);
        news.reports.extend(core.admission.reports());
    }
}

fn apply_news(core: &Core, news: &News, now: Instant) {
    if apply_shared_news(core, news, now) {
        core.outrank_earlier_runs();
        core.record_timeline(news.timeline);
        core.apply_recalled(&news.departed, now);
        core.mark_asked();
    }
}

/// Applies an answer to a pull to the shared state, and returns whether it matched a waiting pull.
fn apply_shared_news(core: &Core, news: &News, now: Instant) -> bool {
    let mut shared = core.shared();
    let shared = &mut *shared;
    let result = shared
        .gossip
        .apply_answer(news, &mut shared.members, &mut shared.freshness, now);
    let Some(result) = result else { return false };
    if let Some(sent) = result.sent
        && core.crossing.is_enabled()
    {
        core.crossing.apply_news(&news.demands, sent);
    }
    if core.feed.is_some() {
        let reading = Reading {
            revision: news.drains_at,
            content: None,
            drained: news.drained.clone(),
            orders: None,
        };
        shared.apply_drains(core, &reading);
        core.merge_rollouts(shared, &decode_rollouts(&news.rollouts, now));
        shared.reports.record(&news.reports, false, now);
    }
    for record in &result.records {
        shared.board.apply_record(record);
        shared.dirty = true;
    }
    if let Some((generation, manifest)) = result.newer
        && let Some(manifest) = Digest::from_slice(&manifest)
    {
        record_newer(core, shared, generation, manifest, &news.from);
    }
    if result.needs_sync {
        shared.catch_up_peer = Some(news.from.clone());
        core.catch_up_now.notify_one();
    }
    if shared.dirty {
        core.render_now.notify_one();
    }
    true
}

/// Records that a node announced a generation that is newer than the held one, and wakes the task that
/// fetches it.
///
/// Every announcement wakes the task, not only the first, so that a fetch that was not completed is resumed.
fn record_newer(core: &Core, shared: &mut Shared, generation: u64, manifest: Digest, holder: &str) {
    let known = shared.newest_known();
    if generation < known {
        return;
    }
    if generation > known {
        let held = shared.freshness.generation();
        spdlog::info!("newer generation announced", kv: { generation, held, node = holder });
    }
    shared.newer = Some(NewerGeneration {
        generation,
        manifest,
        holder: Some(holder.into()),
    });
    core.fetch_now.notify_one();
}

/// Fetches records in one call when many are missing, for example after a start.
pub async fn catch_up(core: Arc<Core>) {
    loop {
        core.catch_up_now.notified().await;
        let (peer, digests) = {
            let mut shared = core.shared();
            let digests = shared.members.digests().to_vec();
            (shared.catch_up_peer.take(), digests)
        };
        let Some(peer) = peer else { continue };
        let records = fetch_records(&core, &peer, digests).await;
        {
            let mut shared = core.shared();
            let shared = &mut *shared;
            for record in &records {
                if shared.members.merge(record) {
                    shared.board.apply_record(record);
                    shared.dirty = true;
                }
            }
        }
        core.outrank_earlier_runs();
        core.render_now.notify_one();
        sleep(CATCH_UP_DELAY).await;
    }
}

async fn fetch_records(core: &Core, peer: &str, digests: Vec<u32>) -> Vec<Record> {
    let call = async {
        let link = core.links.get(peer).await.ok()?;
        let request = MembersRequest { digests };
        let reply = link.client(peer).members(request).await.ok()?;
        Some(reply.into_inner().records)
    };
    timeout(CATCH_UP_TIMEOUT, call)
        .await
        .ok()
        .flatten()
        .unwrap_or_default()
}
