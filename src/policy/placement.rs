//! Placement of a request at a target with room, or in the queue of one without, for services whose targets state
//! their slots.
//!
//! Load pattern: some targets hang or are full while others are idle. Trying them one after the other costs every
//! request several messages before it starts, and once all are full, as many as there are targets. What their egress
//! nodes have reported to earlier requests is used instead, and a request that found full targets nevertheless joins
//! a queue, where it stays.

use std::time::Duration;

/// Targets that seemed to have room but were full, after which a request joins a queue.
const MAX_BUSY_TRIES: u32 = 2;

/// Added to the load of a target whose health is in doubt, as a share of its slots.
const DOUBT_PENALTY: f64 = 1.5;

/// What an ingress node knows of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Requests that run or wait, as assumed from the last report.
    pub load: f64,
    /// Requests that the target runs at once.
    pub slots: f64,
    /// Whether its egress node refused a request like this one a moment ago, since the target may be failing.
    pub doubted: bool,
}

impl Outlook {
    /// Returns whether a request may start at the target at once.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.doubted && self.load < self.slots
    }

    /// Returns how many rounds of work precede a request that joins the target's queue; a target in doubt counts as
    /// more loaded than it is.
    #[must_use]
    pub fn rounds(&self) -> f64 {
        let penalty = if self.doubted { DOUBT_PENALTY } else { 0.0 };
        self.load / self.slots.max(1.0) + penalty
    }
}

/// Returns the load that a target reported `age` ago, if it still holds: for as long as the requests that it counts
/// usually take. Those of a target that hangs end no sooner.
#[must_use]
pub fn valid_load(reported: f64, age: Duration, latency: Duration) -> Option<f64> {
    (age < latency).then_some(reported)
}

/// Returns the load to assume of a target without a valid report: that of the others on average, given as their loads
/// and slots. It would be chosen before all of them if it counted as idle. Requests that wait at the others don't count:
/// a few long queues would make all targets of which nothing is known seem full.
#[must_use]
pub fn usual_load(reported: impl Iterator<Item = (f64, f64)>) -> f64 {
    let add =
        |(count, sum): (f64, f64), (load, slots): (f64, f64)| (count + 1.0, sum + load.min(slots));
    let (count, sum) = reported.fold((0.0, 0.0), add);
    sum / f64::max(count, 1.0)
}

/// Returns whether a request looks for another target with room after `busy` targets that seemed to have some were
/// full.
#[must_use]
pub fn looks_further(busy: u32) -> bool {
    busy < MAX_BUSY_TRIES
}
