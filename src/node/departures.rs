//! Keeps the departures of this VM's targets in the platform's table, since all nodes may be killed at once.
//!
//! Neither memory suffices alone: the table may come back from a copy that lacks what was written last, and is then
//! written again by the node that still knows the departure. See [docs/PLATFORM.md](../../docs/PLATFORM.md).

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, rng};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    clock::{unix_millis, whole_millis},
    config::digest_of,
    fleet::codec::Departure,
    node::Core,
    platform::{PlatformError, Row, Write},
    policy::departures::RETENTION,
};

/// The prefix of the rows that hold departures; the fleet address of the VM follows.
const PREFIX: &str = "left/";

/// How long the acknowledgement of a departure waits for the table at most. Targets take an acknowledgement that arrives
/// within a second.
const KEEP_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay after the first failed call, by which it grows with each further one, and the longest delay.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Digits of a digest that name the row of a departure.
const KEY_DIGITS: usize = 16;

/// Most rows that are removed at once.
const MAX_REMOVED: usize = 32;

/// The content of a row.
#[derive(Serialize, Deserialize)]
struct KeptDeparture {
    target: String,
    last_start_ms: u64,
    /// When the row was written, in milliseconds since the Unix epoch.
    written_ms: u64,
}

/// Which departures of this VM's targets the table holds.
#[derive(Default)]
pub struct KeptDepartures {
    /// The rows of this VM, and the timeline of the table in which each was written.
    rows: Mutex<HashMap<String, u64>>,
    /// Wakes the task that writes.
    changed: Notify,
    /// Whether the table holds all departures.
    complete: watch::Sender<bool>,
}

impl KeptDepartures {
    fn rows(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the departures that earlier incarnations of this node kept, and keeps those that are recorded from then on,
/// until the process ends.
pub async fn keep(core: Arc<Core>) {
    let mut recalled = false;
    let mut failures = 0;
    loop {
        if !recalled {
            recalled = recall(&core).await;
        }
        let written = write_missing(&core).await;
        if recalled && written {
            failures = 0;
            core.kept.changed.notified().await;
            continue;
        }
        failures += 1;
        let delay = MAX_RETRY_DELAY.min(RETRY_DELAY * failures);
        let jitter = rng().random_range(0.7..1.3);
        sleep(delay.mul_f64(jitter)).await;
    }
}

impl Core {
    /// Waits until the platform's table holds all departures, which a target's acknowledgement promises. If the table is
    /// away, the other nodes' memory and later attempts have to do.
    pub async fn keep_departures(&self) {
        if !self.wake_keeper() {
            return;
        }
        // A node that is stopped acknowledges the departure before it ends.
        let _active = self.requests.track();
        let mut complete = self.kept.complete.subscribe();
        let kept = timeout(KEEP_TIMEOUT, complete.wait_for(|complete| *complete)).await;
        if kept.is_err() {
            spdlog::warn!("departure acknowledged before the platform's table holds it");
        }
    }

    /// Wakes the task that writes departures if the table lacks one, and returns whether it does.
    pub(super) fn wake_keeper(&self) -> bool {
        let is_lacking = |(key, _): &(String, Departure)| self.lacks_row(key);
        let lacks = self.feed.is_some() && self.keyed_departures().iter().any(is_lacking);
        if lacks {
            self.kept.complete.send_replace(false);
            self.kept.changed.notify_one();
        }
        lacks
    }

    /// Returns the departures that this node remembers, by the keys of their rows.
    fn keyed_departures(&self) -> Vec<(String, Departure)> {
        let remembered = self.admission.departed_runs(self.clock.now());
        let keyed = remembered.into_iter().map(|d| (row_key(self, &d), d));
        keyed.collect()
    }

    /// Returns whether the table lacks a row in its current timeline.
    fn lacks_row(&self, key: &str) -> bool {
        self.kept.rows().get(key) != Some(&self.timeline())
    }
}

/// Returns the key of a departure's row. No two departures share one, so that a write which takes effect late replaces
/// nothing newer.
fn row_key(core: &Core, departure: &Departure) -> String {
    let name = format!("{} {}", departure.last_start_ms, departure.target);
    let digest = digest_of(name.as_bytes()).to_string();
    format!("{}{}", own_prefix(core), &digest[..KEY_DIGITS])
}

fn own_prefix(core: &Core) -> String {
    format!("{PREFIX}{}/", core.address)
}

/// Applies the departures that the table holds for this VM, and returns whether it could be read.
async fn recall(core: &Core) -> bool {
    let timeline = core.timeline();
    let rows = match core.platform.scan(&own_prefix(core)).await {
        Ok(rows) => rows,
        Err(error) => {
            log_failure("failed to read departures", &error);
            core.mark_read(false);
            return false;
        }
    };
    let now_ms = unix_millis(core.clock.wall());
    let recent = rows
        .iter()
        .filter_map(|(key, row)| read_departure(key, row))
        .filter(|kept| now_ms < kept.written_ms.saturating_add(whole_millis(RETENTION)))
        .map(|kept| Departure {
            target: kept.target,
            last_start_ms: kept.last_start_ms,
        });
    let departures: Vec<Departure> = recent.collect();
    core.kept
        .rows()
        .extend(rows.into_iter().map(|(key, _)| (key, timeline)));
    core.apply_recalled(&departures, core.clock.now());
    core.mark_read(true);
    true
}

fn read_departure(key: &str, row: &Row) -> Option<KeptDeparture> {
    let kept = serde_json::from_str(&row.value);
    if let Err(error) = &kept {
        let error = error.to_string();
        spdlog::warn!("ignoring a row that is no departure", kv: { key, error });
    }
    kept.ok()
}

/// Writes the departures that the table lacks, removes the rows of forgotten ones, and returns whether the table holds
/// all departures.
async fn write_missing(core: &Core) -> bool {
    loop {
        let timeline = core.timeline();
        let departures = core.keyed_departures();
        let missing = departures.iter().filter(|(key, _)| core.lacks_row(key));
        let missing: Vec<_> = missing.collect();
        if missing.is_empty() {
            core.kept.complete.send_replace(true);
            return true;
        }
        let forgotten = forgotten_rows(core, &departures);
        let puts = missing.iter().map(|(key, d)| write_of(core, key, d));
        let removals = forgotten.iter().map(|key| Write {
            key: key.clone(),
            value: None,
        });
        let writes = puts.chain(removals).collect();
        if let Err(error) = core.platform.commit(Vec::new(), writes).await {
            log_failure("failed to write departures", &error);
            return false;
        }
        let mut rows = core.kept.rows();
        rows.retain(|key, _| !forgotten.contains(key));
        for (key, departure) in missing {
            let target = departure.target.as_str();
            spdlog::info!("departure of a target written", kv: { target, timeline });
            rows.insert(key.clone(), timeline);
        }
    }
}

/// Returns the keys of rows that hold none of the remembered departures.
fn forgotten_rows(core: &Core, remembered: &[(String, Departure)]) -> Vec<String> {
    let rows = core.kept.rows();
    let is_forgotten = |key: &&String| remembered.iter().all(|(k, _)| k != *key);
    let forgotten = rows.keys().filter(is_forgotten);
    forgotten.take(MAX_REMOVED).cloned().collect()
}

fn write_of(core: &Core, key: &str, departure: &Departure) -> Write {
    let kept = KeptDeparture {
        target: departure.target.clone(),
        last_start_ms: departure.last_start_ms,
        written_ms: unix_millis(core.clock.wall()),
    };
    Write {
        key: key.to_owned(),
        value: Some(serde_json::json!(kept).to_string()),
    }
}

fn log_failure(message: &str, error: &PlatformError) {
    let error = error.to_string();
    spdlog::warn!("{message}", kv: { error });
}
