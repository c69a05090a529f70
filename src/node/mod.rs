//! The node: the state that its components share, and its background tasks.

mod activity;
mod caller_stream;
mod configuration;
mod control_service;
mod departures;
mod feed_reader;
mod generation_fetch;
mod gossip;
mod listener;
mod ownership;
mod periodic_tasks;
mod probes;
mod registration;
mod rollouts;
mod runner;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::HeaderValue;
use rand::{Rng, rng};
use tokio::sync::{Notify, watch};

use self::{
    activity::OpenCount, configuration::install, departures::KeptDepartures, rollouts::Reports,
};
pub use self::{
    listener::bind,
    ownership::{OWNER_PREFIX, SliceOwner},
    runner::{Deployment, run},
};
use crate::{
    board::{Board, Load, View, build_view},
    clock::{SharedClock, unix_micros},
    config::{Digest, Document, Index},
    feed::{Feed, OrderRow},
    fleet::{
        Links, Membership, Windows,
        codec::{Departure, Record},
        gossip::Gossip,
    },
    ops::Metrics,
    platform::Platform,
    policy::{fresh::Freshness, rollout::Rollouts, roster::quorum},
    proxy::{Admission, Buffers, Crossing, Egress, HeaderNames, Ingress, Quota, Rates},
    settings::Settings,
};

/// How long after its start a node may still discover targets and owners of shares: two heartbeat
/// intervals of a target, of 1.5 s each, and a round of gossip.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(3_500);

/// How long a starting node waits for contact with other nodes before it becomes ready without any.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// The state that a node's background tasks read and write, under one lock.
pub struct Shared {
    /// The VMs, targets and data centres that are known.
    pub board: Board,
    /// The freshness of this node.
    pub freshness: Freshness,
    /// Records of all nodes.
    pub members: Membership,
    /// The state of the gossip protocol.
    pub gossip: Gossip,
    /// The configuration that this node holds.
    pub index: Arc<Index>,
    /// The digest of that configuration's manifest.
    pub manifest: Option<Digest>,
    /// The newest generation that has been announced.
    pub newer: Option<NewerGeneration>,
    /// Whether the request path needs a new view.
    pub dirty: bool,
    /// A node that holds many records that this node lacks.
    pub catch_up_peer: Option<String>,
    /// Nodes that the platform's table lists.
    pub seeds: Vec<Seed>,
    /// Data centres that are drained according to the feed.
    pub drained: Vec<String>,
    /// The store's revision at which `drained` was read.
    pub drains_revision: u64,
    /// Roll-outs of services.
    pub rollouts: Rollouts,
    /// What egress nodes have counted for roll-outs.
    reports: Reports,
    /// The orders of roll-outs at the newest read of them, and the store's revision then.
    orders: (u64, Vec<OrderRow>),
    /// The state of this node's reads of the feed.
    feed: FeedStatus,
    /// Chunks of the held configuration, which other nodes may fetch.
    chunks: HashMap<Digest, Bytes>,
    /// Loads of targets, which successive views share.
    loads: HashMap<Arc<str>, Arc<Load>>,
}

/// The state of a node's reads of the feed, and of the fetch that they give way to.
#[derive(Debug, Default)]
struct FeedStatus {
    /// Whether the feed has to be read at once.
    read_requested: bool,
    /// Whether the last read failed.
    failing: bool,
    /// Since when a change is being fetched from another node.
    fetch_started: Option<Instant>,
}

/// A generation of the configuration that has been announced to this node.
#[derive(Debug, Clone, PartialEq)]
pub struct NewerGeneration {
    /// Its number.
    pub generation: u64,
    /// The digest of its manifest, or in a deployment with a feed of its list of segments.
    pub manifest: Digest,
    /// The node that last announced it, and so holds it; `None` if it was found in the head.
    pub holder: Option<Arc<str>>,
}

/// A node that the platform's table lists.
#[derive(Debug, Clone, PartialEq)]
pub struct Seed {
    /// Its fleet address.
    pub address: String,
    /// Its data centre; empty if unknown.
    pub centre: String,
}

/// Since when nodes are known to be shutting down, by incarnation.
pub type Stops = HashMap<u64, Instant>;

/// The state that all components of a node share.
pub struct Core {
    /// The address at which other nodes reach this one.
    pub address: Arc<str>,
    /// The incarnation: a random number, so that no two runs of nodes share it, whatever their clocks show.
    pub incarnation: u64,
    /// The clock.
    pub clock: SharedClock,
    /// The settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The feed of configurations, if another program writes them.
    pub feed: Option<Feed>,
    /// The names of the headers that callers and targets use.
    pub header_names: HeaderNames,
    /// The view that the request path reads.
    pub view: ArcSwap<View>,
    /// Roll-outs of services, for the request path.
    pub rollouts: ArcSwap<Rollouts>,
    /// Connections to other nodes.
    pub links: Links,
    /// Admission control before the targets of this VM.
    pub admission: Arc<Admission>,
    /// The egress role of this node, which alone sends to the targets of its VM.
    pub egress: Egress,
    /// The ingress role of this node.
    pub ingress: Ingress,
    /// Leases of the bytes that bodies hold, if the settings bound the node's memory.
    pub buffers: Option<Arc<Buffers>>,
    /// Rate limits, whose tokens the owners of slices lease.
    pub rates: Rates,
    /// Quotas, of which each data centre grants one share; used only with a feed.
    pub quota: Quota,
    /// The demand in the data centres, by which requests leave this one.
    pub crossing: Crossing,
    /// Metrics.
    pub metrics: Metrics,
    shared: Mutex<Shared>,
    /// What this node knows of the departures that earlier incarnations of it recorded.
    recall: Recall,
    /// The departures that the platform's table holds.
    kept: KeptDepartures,
    /// The newest timeline of the platform that other nodes know of.
    relayed_timeline: AtomicU64,
    /// Whether a departure was recorded that has not been sent to other nodes at once yet.
    new_departure: AtomicBool,
    shutting_down: AtomicBool,
    listening: AtomicBool,
    /// When the node's last responses are due, from when it rejects requests of callers.
    rejecting: OnceLock<Instant>,
    terminating: watch::Sender<bool>,
    /// Nodes that are known to be shutting down, this one included.
    stops: watch::Sender<Stops>,
    /// Requests of callers whose responses the HTTP library has not taken over as a whole, and departures of targets
    /// that have not been acknowledged.
    requests: OpenCount,
    /// Connections of callers. One ends only after the last byte of its responses has been written.
    connections: OpenCount,
    /// Links on which other nodes have sent attempts to this one.
    links_served: OpenCount,
    epoch: AtomicU64,
    /// Wakes the task that fetches newer generations.
    pub(crate) fetch_now: Notify,
    /// Wakes the task that fetches many records at once.
    pub(crate) catch_up_now: Notify,
    /// Wakes the task that renders views.
    pub(crate) render_now: Notify,
    /// Wakes the task that reads the feed.
    pub(crate) read_now: Notify,
    /// Wakes the gossip task, so that changes spread at once.
    pub(crate) gossip_now: Notify,
}

fn windows(bounded: bool) -> Windows {
    match bounded {
        true => Windows::small(),
        false => Windows::default(),
    }
}

impl Core {
    /// Creates the state of a node.
    ///
    /// # Panics
    /// When the fleet's token is not a valid header value, which its hexadecimal form rules out.
    #[must_use]
    pub fn new(settings: Settings, clock: SharedClock, deployment: Deployment) -> Arc<Self> {
        let Deployment {
            platform,
            feed,
            header_names,
        } = deployment;
        let address: Arc<str> = settings.fleet.to_string().into();
        let now = clock.now();
        let incarnation = new_incarnation();
        // With the right time, the order is above that of all earlier runs; otherwise gossip corrects it.
        let order = unix_micros(clock.wall()).max(1);
        let token = HeaderValue::from_str(&settings.secret.token()).expect("hexadecimal digits");
        let buffers = settings
            .memory
            .map(|memory| Buffers::new(memory, Arc::clone(&clock)));
        let windows = windows(buffers.is_some());
        let index = Arc::new(Index::new(0, Arc::new(Document::default())));
        let mut shared = Shared {
            board: Board::default(),
            freshness: Freshness::new(&address, now),
            members: Membership::new(&address, incarnation, order),
            gossip: Gossip::default(),
            index: Arc::clone(&index),
            manifest: None,
            newer: None,
            dirty: true,
            catch_up_peer: None,
            seeds: Vec::new(),
            drained: Vec::new(),
            drains_revision: 0,
            rollouts: Rollouts::default(),
            reports: Reports::default(),
            orders: (0, Vec::new()),
            feed: FeedStatus::default(),
            chunks: HashMap::new(),
            loads: HashMap::new(),
        };
        if feed.is_some() {
            shared.freshness.use_head_reads_only();
        }
        let view = build_view(&shared.board, &index, &address, &mut HashMap::new());
        let core = Self {
            incarnation,
            view: ArcSwap::from_pointee(view),
            rollouts: ArcSwap::default(),
            links: Links::new(Some(settings.source()), token).with_windows(windows),
            admission: Arc::new(Admission::new(Arc::clone(&clock))),
            egress: Egress::default(),
            ingress: Ingress::default(),
            buffers,
            rates: Rates::default(),
            quota: Quota::default(),
            crossing: Crossing::new(settings.crossing.clone()),
            metrics: Metrics::new(),
            shared: Mutex::new(shared),
            // Announcements through the fleet's own interface name no run, so that there is nothing to recall.
            recall: Recall {
                read: AtomicBool::new(feed.is_none()),
                ..Recall::default()
            },
            kept: KeptDepartures::default(),
            relayed_timeline: AtomicU64::new(0),
            new_departure: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
            listening: AtomicBool::new(false),
            rejecting: OnceLock::new(),
            terminating: watch::Sender::new(false),
            stops: watch::Sender::default(),
            requests: OpenCount::default(),
            connections: OpenCount::default(),
            links_served: OpenCount::default(),
            epoch: AtomicU64::new(order),
            fetch_now: Notify::new(),
            catch_up_now: Notify::new(),
            render_now: Notify::new(),
            read_now: Notify::new(),
            gossip_now: Notify::new(),
            address,
            clock,
            settings,
            platform,
            feed,
            header_names,
        };
        let core = Arc::new(core);
        core.update_record();
        core
    }

    /// Locks the shared state. The lock is never held across an await.
    pub fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether keyed and rate-limited requests may start now.
    ///
    /// Where the deployment bounds the time until a change is in force, they may not start by a generation that is
    /// known to be outdated for that long.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let shared = self.shared();
        let (freshness, newest) = (&shared.freshness, shared.newest_known());
        let overdue = |bound| freshness.is_overdue(newest, bound, now);
        freshness.is_fresh(now) && !self.settings.change.is_some_and(overdue)
    }

    /// Returns the number under which this node owns slices, which fences refer to.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Relaxed)
    }

    /// Begins a new epoch after a fence against `fenced` and all lower ones, and releases all slices of the old
    /// epoch.
    fn renew_epoch(&self, fenced: u64) {
        self.rates.release(&self.rates.owned_slices());
        let next = fenced.max(self.epoch()).saturating_add(1);
        self.epoch.store(next, Relaxed);
        self.update_record();
    }

    /// Returns whether the node is shutting down.
    #[must_use]
    pub fn shutting_down(&self) -> bool {
        self.shutting_down.load(Relaxed)
    }

    fn begin_shutdown(&self) {
        self.shutting_down.store(true, Relaxed);
        self.admission.close(self.clock.now());
        self.update_record();
        self.gossip_now.notify_one();
    }

    /// Returns when the node's last responses are due if, late in its shutdown, it rejects new requests from callers.
    #[must_use]
    pub fn rejects_requests(&self) -> Option<Instant> {
        self.rejecting.get().copied()
    }

    /// Returns whether the node is terminating, and so answers requests without waiting for their
    /// results.
    #[must_use]
    pub fn terminating(&self) -> bool {
        *self.terminating.borrow()
    }

    /// Waits until the node is terminating.
    pub async fn wait_for_termination(&self) {
        let mut terminating = self.terminating.subscribe();
        // The sender lives as long as the node.
        let _ = terminating.wait_for(|terminating| *terminating).await;
    }

    fn terminate(&self) {
        self.terminating.send_replace(true);
    }

    fn reject_requests(&self, last_responses: Instant) {
        self.rejecting.get_or_init(|| last_responses);
    }

    /// Returns the flow control windows of connections between nodes.
    #[must_use]
    pub fn windows(&self) -> Windows {
        windows(self.buffers.is_some())
    }

    /// Returns how many requests are active on this node, as ingress or as egress.
    fn active_requests(&self) -> u64 {
        self.requests.get() + self.admission.total_load() as u64
    }

    /// Returns whether no request is active, and all responses to callers have been written.
    fn is_idle(&self) -> bool {
        self.active_requests() == 0 && self.connections.get() == 0
    }

    /// Returns whether the node is ready for callers: fresh, and in contact with other nodes.
    ///
    /// A node that is in contact with a quorum knows the targets and the owners of slices; with a
    /// feed, one other node is enough. Without that contact, the node becomes ready
    /// `CONTACT_TIMEOUT` after its start, with the nodes that it knows.
    #[must_use]
    pub fn ready(&self) -> bool {
        let shared = self.shared();
        let now = self.clock.now();
        let alive = shared.board.vms.values().filter(|vm| vm.alive).count();
        let has_quorum = alive >= quorum(shared.freshness.roster().len());
        let timed_out = now >= shared.freshness.started() + CONTACT_TIMEOUT;
        let in_contact = match self.feed.is_some() {
            true => alive > 1,
            false => has_quorum,
        };
        !self.shutting_down() && shared.freshness.is_fresh(now) && (in_contact || timed_out)
    }

    /// Returns whether the node started so recently that it may not know all targets and owners of
    /// shares.
    #[must_use]
    pub fn discovering(&self, now: Instant) -> bool {
        now < self.started() + DISCOVERY_PERIOD
    }

    /// Returns when the node started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.shared().freshness.started()
    }

    /// Returns whether callers are served: the node is ready, and listens for them.
    #[must_use]
    pub fn serving(&self) -> bool {
        self.listening.load(Relaxed) && self.ready()
    }

    /// Records that the node listens for callers.
    fn mark_listening(&self) {
        self.listening.store(true, Relaxed);
    }

    /// Records that a target of this VM was ejected.
    pub fn record_ejection(&self, target: &str) {
        let evidence = self.admission.failure_evidence(target, self.clock.now());
        spdlog::warn!("target ejected", kv: { target, evidence });
        self.metrics.record_ejection(target);
        self.update_record();
    }

    /// Returns the chunks of the held configuration.
    #[must_use]
    pub fn chunks(&self) -> HashMap<Digest, Bytes> {
        self.shared().chunks.clone()
    }

    fn set_chunks(&self, chunks: HashMap<Digest, Bytes>) {
        self.shared().chunks = chunks;
    }

    /// Returns a chunk of the held configuration, if it has that digest.
    #[must_use]
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.shared().chunks.get(digest).cloned()
    }

    /// Records that the nodes of this data centre are as in the current view. The lock is held so that no newer view
    /// is published meanwhile.
    fn observe_local_nodes(&self) {
        let _shared = self.shared();
        let nodes = &self.view.load().local_nodes;
        self.quota.observe_nodes(nodes, self.clock.now());
    }

    /// Observes which nodes are shutting down, for requests that depend on them.
    #[must_use]
    pub fn watch_stops(&self) -> watch::Receiver<Stops> {
        self.stops.subscribe()
    }

    /// Publishes which nodes are shutting down if that has changed.
    fn publish_stops(&self, board: &Board) {
        let now = self.clock.now();
        let leaving = board.vms.values().filter(|vm| vm.alive && vm.leaving);
        let leaving: HashSet<u64> = leaving.map(|vm| vm.incarnation).collect();
        self.stops.send_if_modified(|stops| {
            if stops.len() == leaving.len() && leaving.iter().all(|n| stops.contains_key(n)) {
                return false;
            }
            stops.retain(|node, _| leaving.contains(node));
            for node in leaving {
                stops.entry(node).or_insert(now);
            }
            true
        });
    }

    /// Renders a new view of the board and publishes it to the request path.
    fn publish_view(&self, shared: &mut Shared) {
        self.publish_stops(&shared.board);
        let Shared {
            board,
            index,
            loads,
            ..
        } = shared;
        let view = build_view(board, index, &self.address, loads);
        self.quota
            .observe_nodes(&view.local_nodes, self.clock.now());
        self.view.store(Arc::new(view));
        shared.dirty = false;
    }

    /// Returns whether this node still asks for the departures that its earlier incarnations recorded.
    fn recalls_departures(&self, started: Instant, now: Instant) -> bool {
        self.feed.is_some() && now < started + DISCOVERY_PERIOD
    }

    /// Returns whether targets may be used: no earlier incarnation of this node can have acknowledged the
    /// departure of one without this incarnation having asked for it. A node that gets no answer uses its targets
    /// nevertheless after `CONTACT_TIMEOUT`.
    fn has_recalled(&self, now: Instant) -> bool {
        self.recall.is_done() || now >= self.started() + CONTACT_TIMEOUT
    }

    /// Records that another node has answered what it remembers of earlier incarnations of this one.
    fn mark_asked(&self) {
        self.advance_recall(&self.recall.asked);
    }

    /// Records whether the platform's table could be read, which holds what earlier incarnations of this node kept.
    fn mark_read(&self, succeeded: bool) {
        self.advance_recall(match succeeded {
            true => &self.recall.read,
            false => &self.recall.failed,
        });
    }

    fn advance_recall(&self, step: &AtomicBool) {
        let before = self.recall.is_done();
        step.store(true, Relaxed);
        if !before && self.recall.is_done() {
            self.update_record();
        }
    }

    /// Returns the newest timeline of the platform that is known, see [`Platform::timeline`].
    fn timeline(&self) -> u64 {
        let relayed = self.relayed_timeline.load(Relaxed);
        self.platform.timeline().max(relayed)
    }

    /// Records a timeline of the platform that another node knows of.
    fn record_timeline(&self, timeline: u64) {
        self.relayed_timeline.fetch_max(timeline, Relaxed);
    }

    /// Applies the departures that earlier incarnations of this one recorded.
    fn apply_recalled(&self, departed: &[Departure], now: Instant) {
        let mut changed = false;
        for departure in departed {
            let (target, last_start) = (departure.target.as_str(), departure.last_start_ms);
            if self.admission.has_departed(target, last_start, now) {
                continue;
            }
            let was_used = self.admission.record_departure(target, last_start, now);
            spdlog::info!("departure of a target recalled", kv: { target, last_start, was_used });
            changed = true;
        }
        if changed {
            self.update_record();
        }
    }

    /// Returns whether a departure has been recorded since the last call.
    fn take_new_departure(&self) -> bool {
        self.new_departure.swap(false, Relaxed)
    }

    /// Publishes this node's record anew if other nodes hold a newer one of an earlier incarnation, as they do
    /// if the clock was stepped back between the two starts.
    fn outrank_earlier_runs(&self) {
        let outranked = {
            let members = &self.shared().members;
            members.is_outranked().then(|| members.own_order())
        };
        if let Some(order) = outranked {
            spdlog::info!("other nodes hold a newer record of an earlier run", kv: { order });
            self.update_record();
        }
    }

    /// Rebuilds this node's own record, and publishes it if it has changed.
    pub fn update_record(&self) {
        let now = self.clock.now();
        let targets = match self.has_recalled(now) {
            true => self.admission.records(now),
            false => Vec::new(),
        };
        let departed = self.admission.departure_records(now);
        let owned = self.rates.owned_slices();
        let mut shared = self.shared();
        let previous = shared.members.get(&self.address);
        let version = previous.map_or(0, |r| r.version);
        let mut record = Record {
            vm: self.address.to_string(),
            incarnation: self.incarnation,
            version,
            data_centre: self.settings.data_centre.clone(),
            generation: shared.freshness.generation(),
            joined: shared.freshness.joined(),
            leaving: self.shutting_down(),
            targets,
            kept: owned,
            departed,
            order: shared.members.own_order(),
            epoch: self.epoch(),
        };
        // A new generation alone makes no new version: which VMs hold it is gossiped as one bit each.
        let unchanged = |previous: &Record| {
            let generation = record.generation;
            Record {
                generation,
                ..previous.clone()
            } == record
        };
        if previous.is_some_and(unchanged) {
            return;
        }
        let held = previous.map_or(&[][..], |p| &p.departed);
        let departs = record.departed.iter().any(|d| !held.contains(d));
        record.version += 1;
        shared.members.merge(&record);
        shared.board.apply_record(&record);
        shared.dirty = true;
        drop(shared);
        self.render_now.notify_one();
        if departs && self.feed.is_some() {
            self.new_departure.store(true, Relaxed);
            self.gossip_now.notify_one();
        }
    }
}

/// Which memories of earlier incarnations a node has consulted since its start.
#[derive(Debug, Default)]
struct Recall {
    /// Whether the platform's table has been read.
    read: AtomicBool,
    /// Whether a read of the table has failed.
    failed: AtomicBool,
    /// Whether another node has answered.
    asked: AtomicBool,
}

impl Recall {
    /// Returns whether departures are known as far as they can be. Other nodes alone may all have just started, so that
    /// their answers replace the table only while it can't be read.
    fn is_done(&self) -> bool {
        let (failed, asked) = (self.failed.load(Relaxed), self.asked.load(Relaxed));
        self.read.load(Relaxed) || failed && asked
    }
}

/// Draws an incarnation. Nodes of earlier versions order incarnations by number, and those by start times in
/// microseconds, which are all below the ones drawn here.
fn new_incarnation() -> u64 {
    rng().random::<u64>() | 1 << 63
}
