//! Departures of targets. An announcement that a target sent before it left may arrive later, and must not bring
//! the target back, also if the node has restarted since or has never known the target.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long a departure is remembered, since earlier announcements may arrive this late.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Greatest number of departures that are remembered, so that a faulty sender can't use up memory.
pub const MAX_DEPARTURES: usize = 64;

/// The runs of a target that have left: all that started up to a time.
#[derive(Debug, Clone, Copy)]
struct Departure {
    last_start: u64,
    recorded: Instant,
}

/// The departures that a node remembers, by target.
#[derive(Debug, Default)]
pub struct Departures {
    departures: HashMap<String, Departure>,
}

impl Departures {
    /// Records that all runs of a target that started up to `last_start` have left, in milliseconds of the
    /// target's clock.
    pub fn record(&mut self, target: &str, last_start: u64, now: Instant) {
        self.remove_expired(now);
        let known = self.departures.get(target).map_or(0, |d| d.last_start);
        let departure = Departure {
            last_start: last_start.max(known),
            recorded: now,
        };
        self.departures.insert(target.to_owned(), departure);
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, d)| d.recorded);
            let oldest = oldest.map(|(target, _)| target.clone());
            oldest.map(|target| self.departures.remove(&target));
        }
    }

    /// Returns whether the run of a target that started at `started` has left.
    #[must_use]
    pub fn includes(&self, target: &str, started: u64, now: Instant) -> bool {
        let departure = self.departures.get(target);
        departure.is_some_and(|d| now < d.recorded + RETENTION && started <= d.last_start)
    }

    /// Returns the targets whose departure is remembered and the last start of their departed runs, the newest
    /// first.
    #[must_use]
    pub fn newest(&self, now: Instant) -> Vec<(&str, u64)> {
        let remembered = self.departures.iter();
        let mut newest: Vec<_> = remembered
            .filter(|(_, d)| now < d.recorded + RETENTION)
            .collect();
        newest.sort_by(|a, b| (b.1.recorded, a.0).cmp(&(a.1.recorded, b.0)));
        newest
            .into_iter()
            .map(|(target, d)| (target.as_str(), d.last_start))
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.departures.retain(|_, d| now < d.recorded + RETENTION);
    }
}
