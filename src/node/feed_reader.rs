//! Reads a feed: one node of each data centre, its delegate, reads it often; the others rely on relayed
//! reads, and read the feed themselves when those become too old.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, rng};
use tokio::time::{sleep, timeout};

use crate::{
    board::Vm,
    clock::whole_millis,
    config::{Index, Segments},
    feed::{Content, Feed, Reading},
    node::{Core, Shared, install},
};

/// Age of the newest read at which the primary delegate reads again. Including a round of gossip and a
/// fetch, a change is in force well within 2 s, the tightest bound of the deployments.
const PRIMARY_READ_AGE: Duration = Duration::from_millis(700);

/// Age at which the other delegates read again. It is higher because the reads of the primary delegate
/// are relayed to them.
const SECONDARY_READ_AGE: Duration = Duration::from_millis(1_100);

/// Age at which a node that isn't a delegate reads the feed itself. Relayed reads are younger while
/// gossip works.
const FALLBACK_READ_AGE: Duration = Duration::from_millis(1_500);

/// Jitter added to that age, so that nodes that lose their delegate do not all read at once.
const FALLBACK_READ_JITTER: Duration = Duration::from_millis(300);

/// How long a node that fetches a change from another one doesn't read the feed itself.
const FETCH_PRECEDENCE: Duration = Duration::from_millis(700);

/// Shortest wait before the age of the newest read is checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one read. A feed that doesn't respond at all ends the read sooner; a large configuration takes seconds
/// over a slow link.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Base of the delay after failed reads, which doubles with each failure, and the longest delay.
const RETRY_BASE: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// What the last read found.
#[derive(Debug, Default)]
pub struct Position {
    /// The store's revision; while it stays the same, nothing has to be read again.
    revision: u64,
    /// The generation of the configuration.
    generation: u64,
}

/// Reads the feed whenever it is due, until the process ends.
pub async fn follow(core: Arc<Core>, feed: Feed) {
    let mut position = Position::default();
    let mut failures = 0;
    loop {
        let now = core.clock.now();
        let wait = time_until_read(&core, now);
        if !wait.is_zero() {
            // Whether notified or timed out, the age is checked again.
            let _ = timeout(wait.max(CHECK_INTERVAL), core.read_now.notified()).await;
            if !core.shared().feed.read_requested
                && !time_until_read(&core, core.clock.now()).is_zero()
            {
                continue;
            }
        }
        core.shared().feed.read_requested = false;
        let succeeded = read_once(&core, &feed, &mut position).await;
        core.shared().feed.failing = !succeeded;
        if succeeded {
            if failures > 0 {
                spdlog::info!("feed can be read again", kv: { failures });
            }
            failures = 0;
            continue;
        }
        failures += 1;
        let delay = RETRY_BASE * 2_u32.saturating_pow(failures.min(8));
        let jitter = rng().random_range(0.7..1.3);
        sleep(delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
    }
}

/// Returns the time until this node has to read the feed, unless a newer read is relayed to it before.
fn time_until_read(core: &Core, now: Instant) -> Duration {
    let shared = core.shared();
    let Some(age) = shared.freshness.head_age(now) else {
        return Duration::ZERO;
    };
    let own = Some(&*core.address);
    let read_age = if shared.delegate(&core.settings.data_centre).as_deref() != own {
        // A read of a large configuration would take the link from the fetch, which is done sooner.
        let started = shared.feed.fetch_started;
        if started.is_some_and(|at| now < at + FETCH_PRECEDENCE) {
            return CHECK_INTERVAL;
        }
        FALLBACK_READ_AGE + FALLBACK_READ_JITTER.mul_f64(rng().random_range(0.0..1.0))
    } else if shared.primary_delegate().as_deref() == own {
        PRIMARY_READ_AGE
    } else {
        SECONDARY_READ_AGE
    };
    read_age.saturating_sub(age)
}

/// Reads the feed, installs its content, and returns whether that succeeded.
async fn read_once(core: &Core, feed: &Feed, position: &mut Position) -> bool {
    let sent = core.clock.now();
    let reading = timeout(READ_TIMEOUT, (feed.read)(position.revision)).await;
    let reading = match reading {
        Ok(Ok(reading)) => reading,
        Ok(Err(error)) => return log_failure(core, sent, &error.to_string()),
        Err(_) => return log_failure(core, sent, "no answer in time"),
    };
    // Content that can't be decoded must not delay a drain.
    core.shared().apply_drains(core, &reading);
    core.apply_orders(&reading);
    let generation = match &reading.content {
        None => position.generation,
        Some(Content::Empty) => 0,
        Some(Content::Written(content)) => {
            let transfer = core.clock.now().saturating_duration_since(sent);
            let segments = Segments::split(content.clone());
            match install_content(core, feed, segments, "feed", transfer) {
                Some(generation) => generation,
                // Content that can't be decoded doesn't replace the held generation, and is read again after a
                // delay.
                None => return false,
            }
        }
    };
    *position = Position {
        revision: reading.revision,
        generation,
    };
    let now = core.clock.now();
    core.shared()
        .freshness
        .record_own_read(sent, generation, now);
    true
}

/// Logs that a read of the feed failed, and returns `false`.
fn log_failure(core: &Core, sent: Instant, error: &str) -> bool {
    let now = core.clock.now();
    let age = core.shared().freshness.head_age(now);
    let age_ms = age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX));
    let took_ms = whole_millis(now.saturating_duration_since(sent));
    spdlog::warn!("failed to read the feed", kv: { error, age_ms, took_ms });
    false
}

/// Decodes a generation, installs it if it is newer, and returns its number. `source` and the time that the transfer
/// took are for the log.
pub(super) fn install_content(
    core: &Core,
    feed: &Feed,
    segments: Segments,
    source: &str,
    transfer: Duration,
) -> Option<u64> {
    let started = core.clock.now();
    let held = core.shared().freshness.generation();
    if core.shared().manifest == Some(segments.digest) {
        return Some(held);
    }
    let (generation, document) = match (feed.decode)(&segments.content) {
        Ok(decoded) => decoded,
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("generation can't be decoded", kv: { held, error });
            return None;
        }
    };
    if generation > held {
        let index = Arc::new(Index::new(generation, Arc::new(document)));
        let now = core.clock.now();
        install(core, &index, segments.digest, now);
        let bytes = segments.content.len();
        core.set_chunks(segments.chunks);
        let fetch_ms = whole_millis(transfer);
        let decode_ms = whole_millis(now.saturating_duration_since(started));
        spdlog::info!("generation installed", kv: { generation, held, source, bytes, fetch_ms, decode_ms });
        core.update_record();
        core.gossip_now.notify_one();
    }
    Some(generation)
}

impl Shared {
    /// Applies the drained data centres of a reading, if it is newer than the last one.
    pub(super) fn apply_drains(&mut self, core: &Core, reading: &Reading) {
        if reading.revision <= self.drains_revision {
            return;
        }
        self.drains_revision = reading.revision;
        if self.drained != reading.drained {
            let (before, now) = (self.drained.join(","), reading.drained.join(","));
            let revision = reading.revision;
            spdlog::info!("drained data centres changed", kv: { before, now, at = revision });
            self.drained.clone_from(&reading.drained);
            self.board.set_drained(&self.drained);
            core.publish_view(self);
        }
    }

    /// Returns the primary delegate, which reads the feed more often than the other delegates.
    pub(super) fn primary_delegate(&self) -> Option<Arc<str>> {
        self.available_vms().map(|vm| Arc::clone(&vm.address)).min()
    }

    /// Returns the VMs that are alive and not leaving.
    fn available_vms(&self) -> impl Iterator<Item = &Vm> {
        let vms = self.board.vms.values();
        vms.filter(|vm| vm.alive && !vm.leaving)
    }

    /// Returns the delegate of a data centre: the node that reads the feed and gossips with other data
    /// centres.
    pub(super) fn delegate(&self, centre: &str) -> Option<Arc<str>> {
        let in_centre = |vm: &&Vm| *self.board.data_centres[vm.data_centre].name == *centre;
        let candidates = self.available_vms().filter(in_centre);
        candidates.map(|vm| Arc::clone(&vm.address)).min()
    }
}
