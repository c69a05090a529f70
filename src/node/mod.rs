//! The node: what its parts share, and the tasks that keep it in touch.

mod configure;
mod follow;
mod gossip;
mod keep;
mod listen;
mod register;
mod serve;
mod service;
mod stream;
mod tasks;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::HeaderValue;
use tokio::sync::{Notify, watch};

use self::configure::take_up;
pub use self::{
    listen::bind,
    serve::{Deployment, run},
};
use crate::{
    board::{Board, Load, View, build_view},
    clock::{SharedClock, micros_of},
    config::{Digest, Document, Index},
    feed::Feed,
    fleet::{Links, Membership, codec::Record, gossip::Gossip},
    ops::Metrics,
    platform::Platform,
    policy::{fresh::Freshness, roster::quorum},
    proxy::{Admission, Dialect, Egress, Entry, Quota, Rates},
    settings::Settings,
};

/// How long after its start a node hears of targets and holders: two heartbeats of a target, of 1.5 s
/// each, and a round of gossip.
const SETTLES_FOR: Duration = Duration::from_millis(3_500);

/// How long a starting node waits for word of others.
const ALONE_AFTER: Duration = Duration::from_secs(5);

/// What the controllers of a node read and write, under one lock.
pub struct Shared {
    /// The blackboard.
    pub board: Board,
    /// Freshness.
    pub fresh: Freshness,
    /// Records of all nodes.
    pub members: Membership,
    /// Pulls under way.
    pub gossip: Gossip,
    /// The configuration that is held.
    pub index: Arc<Index>,
    /// The digest of its manifest.
    pub manifest: Option<Digest>,
    /// A newer generation that was heard of.
    pub newer: Option<(u64, Digest)>,
    /// Whether the request path needs a new view.
    pub dirty: bool,
    /// A node that holds many records that are missing here.
    pub far: Option<String>,
    /// Nodes that the table lists.
    pub seeds: Vec<Seed>,
    /// Data centres that the feed says are drained, and where that read stands.
    pub drained: Vec<String>,
    /// See `drained`.
    pub drains_at: u64,
    /// Whether a read of the feed is wanted at once.
    wants_read: bool,
    /// Chunks of the configuration that is held, for nodes that ask.
    chunks: HashMap<Digest, Bytes>,
    loads: HashMap<Arc<str>, Arc<Load>>,
}

/// A node that the platform's table lists.
#[derive(Debug, Clone, PartialEq)]
pub struct Seed {
    /// Its fleet address.
    pub address: String,
    /// Its data centre; empty when that is not known.
    pub centre: String,
}

/// What all parts of a node share.
pub struct Core {
    /// The fleet address.
    pub address: Arc<str>,
    /// The incarnation: the time of the start in microseconds.
    pub incarnation: u64,
    /// The clock.
    pub clock: SharedClock,
    /// The settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The feed of configurations, where another program writes them.
    pub feed: Option<Feed>,
    /// What headers are called towards callers and targets.
    pub dialect: Dialect,
    /// The view that the request path reads.
    pub view: ArcSwap<View>,
    /// Links to other nodes.
    pub links: Links,
    /// The gate before the targets of this VM.
    pub admission: Arc<Admission>,
    /// The guard.
    pub egress: Egress,
    /// The entry.
    pub entry: Entry,
    /// Rates that keepers lend.
    pub rates: Rates,
    /// Quotas that data centres grant in parts, where there is a feed.
    pub quota: Quota,
    /// Metrics.
    pub metrics: Metrics,
    shared: Mutex<Shared>,
    stopping: AtomicBool,
    open: AtomicBool,
    closed: AtomicBool,
    ending: watch::Sender<bool>,
    busy: AtomicU64,
    epoch: AtomicU64,
    /// Wakes the task that fetches newer generations.
    pub(crate) adopt: Notify,
    /// Wakes the task that fetches many records at once.
    pub(crate) far: Notify,
    /// Wakes the task that renders views.
    pub(crate) changed: Notify,
    /// Wakes the task that reads the feed.
    pub(crate) read_now: Notify,
    /// Wakes the task that gossips, to spread what is new at once.
    pub(crate) spread: Notify,
}

impl Core {
    /// Creates a node's parts.
    ///
    /// # Panics
    /// When the fleet's token is no header value, which its hexadecimal form rules out.
    #[must_use]
    pub fn new(settings: Settings, clock: SharedClock, deployment: Deployment) -> Arc<Self> {
        let Deployment {
            platform,
            feed,
            dialect,
        } = deployment;
        let address: Arc<str> = settings.fleet.to_string().into();
        let now = clock.now();
        let incarnation = micros_of(clock.wall());
        let token = HeaderValue::from_str(&settings.secret.token()).expect("hexadecimal digits");
        let index = Arc::new(Index::new(0, Arc::new(Document::default())));
        let mut shared = Shared {
            board: Board::default(),
            fresh: Freshness::new(&address, now),
            members: Membership::default(),
            gossip: Gossip::default(),
            index: Arc::clone(&index),
            manifest: None,
            newer: None,
            dirty: true,
            far: None,
            seeds: Vec::new(),
            drained: Vec::new(),
            drains_at: 0,
            wants_read: false,
            chunks: HashMap::new(),
            loads: HashMap::new(),
        };
        if feed.is_some() {
            shared.fresh.use_head_reads_only();
        }
        let view = build_view(&shared.board, &index, &address, &mut HashMap::new());
        let core = Self {
            incarnation,
            view: ArcSwap::from_pointee(view),
            links: Links::new(Some(settings.source()), token),
            admission: Arc::new(Admission::new(Arc::clone(&clock))),
            egress: Egress::default(),
            entry: Entry::default(),
            rates: Rates::default(),
            quota: Quota::default(),
            metrics: Metrics::new(),
            shared: Mutex::new(shared),
            stopping: AtomicBool::new(false),
            open: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            ending: watch::Sender::new(false),
            busy: AtomicU64::new(0),
            epoch: AtomicU64::new(incarnation),
            adopt: Notify::new(),
            far: Notify::new(),
            changed: Notify::new(),
            read_now: Notify::new(),
            spread: Notify::new(),
            address,
            clock,
            settings,
            platform,
            feed,
            dialect,
        };
        let core = Arc::new(core);
        core.describe();
        core
    }

    /// Locks what the controllers share; never held across an await.
    pub fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether keyed and limited work may start now.
    #[must_use]
    pub fn fresh(&self, now: Instant) -> bool {
        self.shared().fresh.is_fresh(now)
    }

    /// Returns the incarnation of this node as a keeper, which fences name.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Relaxed)
    }

    /// Begins a new incarnation as a keeper after a fence; nothing of the old one is kept.
    fn renew_epoch(&self) {
        let micros = micros_of(self.clock.wall());
        self.rates.release(&self.rates.owned_slices());
        self.epoch.store(micros.max(self.epoch() + 1), Relaxed);
        self.describe();
    }

    /// Tells whether the node is shutting down.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    fn stop(&self) {
        self.stopping.store(true, Relaxed);
        self.admission.close(self.clock.now());
        self.describe();
        self.spread.notify_one();
    }

    /// Tells whether the node, about to end, takes no new requests of callers any more.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.closed.load(Relaxed)
    }

    /// Tells whether the node ends now, and answers what still runs.
    #[must_use]
    pub fn ends(&self) -> bool {
        *self.ending.borrow()
    }

    /// Waits until the node ends.
    pub async fn ending(&self) {
        let mut ending = self.ending.subscribe();
        // The sender lives as long as the node.
        let _ = ending.wait_for(|ends| *ends).await;
    }

    fn end(&self) {
        self.ending.send_replace(true);
    }

    fn close(&self) {
        self.closed.store(true, Relaxed);
    }

    /// Counts a caller's request as under way until the returned value is dropped.
    fn busy(self: &Arc<Self>) -> Busy {
        self.busy.fetch_add(1, Relaxed);
        Busy(Arc::clone(self))
    }

    /// Returns how many requests are under way, as entry or as guard.
    fn under_way(&self) -> u64 {
        self.busy.load(Relaxed) + self.admission.total_load() as u64
    }

    /// Tells whether the node is ready for callers: fresh, and in touch with the others.
    ///
    /// A node that has heard of a quorum knows targets and keepers. When there is no quorum to hear
    /// of, it waits for [`ALONE_AFTER`] and then goes on with those it knows.
    #[must_use]
    pub fn ready(&self) -> bool {
        let shared = self.shared();
        let now = self.clock.now();
        let alive = shared.board.vms.values().filter(|vm| vm.alive).count();
        let in_touch = alive >= quorum(shared.fresh.roster().len());
        let waited = now >= shared.fresh.started() + ALONE_AFTER;
        let in_touch = match self.feed.is_some() {
            true => alive > 1,
            false => in_touch,
        };
        !self.stopping() && shared.fresh.is_fresh(now) && (in_touch || waited)
    }

    /// Tells whether the node started so lately that it may not have heard of all targets and holders.
    #[must_use]
    pub fn settles(&self, now: Instant) -> bool {
        now < self.started() + SETTLES_FOR
    }

    /// Returns when the node started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.shared().fresh.started()
    }

    /// Tells whether callers are served: the node is ready, and listens for them.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.open.load(Relaxed) && self.ready()
    }

    /// Takes up that the node listens for callers.
    fn open(&self) {
        self.open.store(true, Relaxed);
    }

    /// Takes up that a target of this VM was ejected.
    pub fn ejected(&self, target: &str) {
        let evidence = self.admission.failure_evidence(target, self.clock.now());
        spdlog::warn!("target ejected", kv: { target, evidence });
        self.metrics.ejected(target);
        self.describe();
    }

    /// Returns the chunks that are held.
    #[must_use]
    pub fn chunks(&self) -> HashMap<Digest, Bytes> {
        self.shared().chunks.clone()
    }

    fn keep_chunks(&self, chunks: HashMap<Digest, Bytes>) {
        self.shared().chunks = chunks;
    }

    /// Finds a chunk that is held.
    #[must_use]
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.shared().chunks.get(digest).cloned()
    }

    /// Renders a new view of the board for the request path.
    fn render(&self, shared: &mut Shared) {
        let Shared {
            board,
            index,
            loads,
            ..
        } = shared;
        let mut view = build_view(board, index, &self.address, loads);
        let last = self.view.load();
        let same = last
            .local_since
            .filter(|_| last.local_nodes == view.local_nodes);
        view.local_since = same.or_else(|| Some(self.clock.now()));
        self.view.store(Arc::new(view));
        shared.dirty = false;
    }

    /// Writes this node's own record anew when it has changed.
    pub fn describe(&self) {
        let targets = self.admission.records(self.clock.now());
        let kept = self.rates.owned_slices();
        let mut shared = self.shared();
        let known = shared.members.get(&self.address);
        let version = known.map_or(0, |r| r.version);
        let mut record = Record {
            vm: self.address.to_string(),
            incarnation: self.incarnation,
            version,
            data_centre: self.settings.centre.clone(),
            generation: shared.fresh.generation(),
            joined: shared.fresh.joined(),
            leaving: self.stopping(),
            targets,
            kept,
        };
        // A new generation alone is no news here: who holds it travels as one bit a VM.
        let same = |k: &Record| {
            let generation = record.generation;
            Record {
                generation,
                ..k.clone()
            } == record
        };
        if known.is_some_and(same) {
            return;
        }
        record.version += 1;
        shared.members.merge(&record);
        shared.board.apply_record(&record);
        shared.dirty = true;
        drop(shared);
        self.changed.notify_one();
    }
}

/// A caller's request under way.
struct Busy(Arc<Core>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Relaxed);
    }
}
