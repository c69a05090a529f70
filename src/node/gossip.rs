//! The gossip socket: pulls are sent at intervals, datagrams are opened, decoded and answered.

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
        codec::{MembersRequest, News, Packet, Pull, Record, packet},
        gossip::{answer, decode, encode},
    },
    node::{Core, Shared},
};

/// How often a node pulls.
pub const PULL_EVERY: Duration = Duration::from_millis(250);

/// One pull in this many goes to an address that is not known to be alive.
const EXPLORE_ONE_IN: u32 = 8;

/// How long a call for records may take, and how long the next one waits.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
const CATCH_UP_PAUSE: Duration = Duration::from_secs(1);

const LARGEST_DATAGRAM: usize = 65_535;

/// How often the delegate of a data centre pulls from those of the other ones.
pub const FAR_EVERY: Duration = Duration::from_millis(1_000);

/// Pulls from others until the node ends.
pub async fn pull(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut far_at = core.clock.now();
    loop {
        let jitter = rng().random_range(0.8..1.2);
        let news = timeout(PULL_EVERY.mul_f64(jitter), core.spread.notified()).await;
        let now = core.clock.now();
        let mut peers = match (core.feed.is_some(), news.is_ok()) {
            (false, _) => choose(&core).into_iter().collect(),
            (true, false) => choose_near(&core).into_iter().collect(),
            (true, true) if core.stopping() || is_delegate(&core) => all_near(&core),
            (true, true) => Vec::new(),
        };
        let far_due = news.is_ok() || now >= far_at + FAR_EVERY;
        if core.feed.is_some() && far_due && is_delegate(&core) {
            far_at = now;
            peers.extend(choose_far(&core));
        }
        for peer in peers {
            let datagram = write_pull(&core);
            // A datagram that cannot be sent is a lost one; the next pull goes elsewhere.
            let _ = socket.send_to(&datagram, peer).await;
        }
    }
}

/// Returns the addresses of a data centre's nodes that are alive, without this one.
fn alive_in<'s>(core: &Core, shared: &'s Shared, centre: &str) -> Vec<&'s str> {
    let here = |vm: &&Vm| *shared.board.data_centres[vm.data_centre].name == *centre;
    let vms = shared.board.vms.values();
    vms.filter(|vm| vm.alive && *vm.address != *core.address)
        .filter(here)
        .map(|vm| &*vm.address)
        .collect()
}

/// Chooses whom to pull from within the data centre: its delegate half of the time, since that one
/// reads the feed, else any node.
fn choose_near(core: &Core) -> Option<SocketAddr> {
    let shared = core.shared();
    let centre = core.settings.centre.as_str();
    let alive = alive_in(core, &shared, centre);
    let explore = alive.is_empty() || rng().random_ratio(1, EXPLORE_ONE_IN);
    if explore {
        let strange = |vm: &&str| **vm != *core.address && !alive.contains(vm);
        let seeds = shared.seeds.iter();
        let near = seeds.clone().filter(|s| s.centre == centre);
        let known = near.map(|s| s.address.as_str());
        let peers = core.settings.peers.iter().map(String::as_str);
        let near: Vec<&str> = known.chain(peers).filter(strange).collect();
        let any: Vec<&str> = seeds.map(|s| s.address.as_str()).filter(strange).collect();
        let from = match near.is_empty() && alive.is_empty() {
            true => &any,
            false => &near,
        };
        if let Some(vm) = from.choose(&mut rng()) {
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

fn all_near(core: &Core) -> Vec<SocketAddr> {
    let shared = core.shared();
    let near = alive_in(core, &shared, &core.settings.centre);
    near.iter().filter_map(|vm| vm.parse().ok()).collect()
}

/// Tells whether this node reads the feed and gossips for its data centre.
fn is_delegate(core: &Core) -> bool {
    let delegate = core.shared().delegate(&core.settings.centre);
    delegate.as_deref() == Some(&*core.address)
}

/// Chooses one node of each other data centre.
fn choose_far(core: &Core) -> Vec<SocketAddr> {
    let shared = core.shared();
    let own = core.settings.centre.as_str();
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
        let listed = shared.seeds.iter().filter(|s| s.centre == *centre);
        let listed: Vec<&str> = listed.map(|s| s.address.as_str()).collect();
        let explore = alive.is_empty() || rng().random_ratio(1, EXPLORE_ONE_IN);
        let from = if explore && !listed.is_empty() {
            &listed
        } else {
            &alive
        };
        let chosen = match explore {
            true => from.choose(&mut rng()).copied(),
            false => from.iter().min().copied(),
        };
        out.extend(chosen.and_then(|vm| vm.parse::<SocketAddr>().ok()));
    }
    out
}

fn write_pull(core: &Core) -> Vec<u8> {
    let mut shared = core.shared();
    let now = core.clock.now();
    let shared = &mut *shared;
    let Some(own) = shared.members.get(&core.address).cloned() else {
        return Vec::new();
    };
    let packet = shared.gossip.pull(&own, &shared.members, now);
    seal(core, &packet)
}

fn seal(core: &Core, packet: &Packet) -> Vec<u8> {
    let sealed = core.settings.secret.seal(&encode(packet));
    core.metrics.gossiped(sealed.len());
    sealed
}

/// Chooses whom to pull from: mostly a VM that is alive, now and then any known address.
fn choose(core: &Core) -> Option<SocketAddr> {
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
    let seeds = core.settings.peers.iter().map(String::as_str);
    let roster = shared.fresh.roster().iter().map(String::as_str);
    let listed = shared.seeds.iter().map(|s| s.address.as_str());
    let all: Vec<&str> = records
        .chain(seeds)
        .chain(roster)
        .chain(listed)
        .filter(|vm| *vm != &*core.address)
        .collect();
    all.choose(&mut rng())?.parse().ok()
}

/// Takes datagrams in until the node ends.
pub async fn receive(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST_DATAGRAM];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        for reply in take(&core, &buffer[..size]) {
            let _ = socket.send_to(&reply, from).await;
        }
    }
}

/// Takes one datagram in, and returns those that go back; a stranger's or a malformed one is counted
/// and dropped.
fn take(core: &Core, datagram: &[u8]) -> Vec<Vec<u8>> {
    core.metrics.gossiped(datagram.len());
    let content = core.settings.secret.open(datagram).ok();
    let packet = content.and_then(|c| decode(c).ok());
    let Some(packet) = packet else {
        core.metrics.dropped_datagram();
        return Vec::new();
    };
    let now = core.clock.now();
    match packet.body {
        Some(packet::Body::Pull(pull)) => {
            let mut out = vec![reply(core, &pull, now)];
            // Who holds a newer generation is asked for it at once.
            if core.feed.is_some() && pull.generation > core.shared().fresh.generation() {
                out.push(write_pull(core));
            }
            out
        }
        Some(packet::Body::News(news)) => {
            learn(core, &news, now);
            Vec::new()
        }
        None => Vec::new(),
    }
}

fn reply(core: &Core, pull: &Pull, now: Instant) -> Vec<u8> {
    let mut shared = core.shared();
    let shared = &mut *shared;
    // Who asks is alive; what it holds is not said here, so this bears on no freshness.
    shared.fresh.record_sighting(&pull.from, now);
    if let Some(sender) = &pull.sender
        && shared.members.merge(sender)
    {
        shared.board.apply_record(sender);
        shared.dirty = true;
        core.changed.notify_one();
    }
    let manifest = shared.manifest.map(|d| d.0.to_vec()).unwrap_or_default();
    let mut packet = answer(
        pull,
        core.incarnation,
        &manifest,
        &mut shared.members,
        &shared.fresh,
        now,
    );
    if core.feed.is_some() {
        add_feed(core, shared, pull, &mut packet);
    }
    seal(core, &packet)
}

/// Adds what the feed said of drains; a node of another data centre hears of this one's VMs alone.
fn add_feed(core: &Core, shared: &Shared, pull: &Pull, packet: &mut Packet) {
    let Some(packet::Body::News(news)) = &mut packet.body else {
        return;
    };
    news.drains_at = shared.drains_at;
    news.drained.clone_from(&shared.drained);
    let own = core.settings.centre.as_str();
    let asker = shared.members.get(&pull.from);
    if asker.is_some_and(|record| record.data_centre != own) {
        let near = alive_in(core, shared, own);
        news.extras.retain(|e| near.contains(&e.vm.as_str()));
    }
}

fn learn(core: &Core, news: &News, now: Instant) {
    let mut shared = core.shared();
    let shared = &mut *shared;
    let learned = shared
        .gossip
        .learn(news, &mut shared.members, &mut shared.fresh, now);
    let Some(learned) = learned else { return };
    if core.feed.is_some() {
        let reading = Reading {
            at: news.drains_at,
            content: None,
            drained: news.drained.clone(),
        };
        shared.take_drains(core, &reading);
    }
    for record in &learned.records {
        // Word of this VM's earlier incarnations may still be about.
        if *record.vm == *core.address {
            continue;
        }
        shared.board.apply_record(record);
        shared.dirty = true;
    }
    if let Some((generation, manifest)) = learned.newer
        && let Some(manifest) = Digest::from_slice(&manifest)
        && shared.newer.is_none_or(|(known, _)| known < generation)
    {
        shared.newer = Some((generation, manifest));
        core.adopt.notify_one();
    }
    if learned.far {
        shared.far = Some(news.from.clone());
        core.far.notify_one();
    }
    if shared.dirty {
        core.changed.notify_one();
    }
}

/// Fetches records by a call when many are missing, as after a start.
pub async fn catch_up(core: Arc<Core>) {
    loop {
        core.far.notified().await;
        let (peer, digests) = {
            let mut shared = core.shared();
            let digests = shared.members.digests().to_vec();
            (shared.far.take(), digests)
        };
        let Some(peer) = peer else { continue };
        let records = fetch_records(&core, &peer, digests).await;
        {
            let mut shared = core.shared();
            let shared = &mut *shared;
            for record in records.iter().filter(|r| *r.vm != *core.address) {
                if shared.members.merge(record) {
                    shared.board.apply_record(record);
                    shared.dirty = true;
                }
            }
        }
        core.changed.notify_one();
        sleep(CATCH_UP_PAUSE).await;
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
