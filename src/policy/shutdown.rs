//! When a node that was told to stop gives its last answers, and when it ends.

use std::time::{Duration, Instant};

/// Share of the grace period after which what still runs gets a last answer, counted from the first
/// signal: its end, less time for the answers to go out.
const ANSWER_AT: f64 = 0.9;

/// The same counted from the latest signal. An answer in the last sixth of a grace period is excused, and
/// deployments count that from each of their signals.
const ANSWER_AFTER_LATEST: f64 = 0.85;

/// The latest last answer in any case: the first signal's grace period ends with a kill.
const ANSWER_BY: f64 = 0.975;

/// Share of the grace period that last answers are given to go out, and when the node ends at the latest.
const ANSWERS_TAKE: f64 = 0.05;
const END_BY: f64 = 0.99;

value! {
    /// The signals that told a node to stop.
    pub struct Shutdown {
        /// How long after the first signal the node is killed.
        pub grace: Duration,
        /// When the first signal came.
        pub first: Instant,
        /// When the latest one came.
        pub latest: Instant,
    }
}

impl Shutdown {
    /// Returns when what still runs gets a last answer.
    #[must_use]
    pub fn answer_at(&self) -> Instant {
        let usual = self.first + self.grace.mul_f64(ANSWER_AT);
        let postponed = self.latest + self.grace.mul_f64(ANSWER_AFTER_LATEST);
        let last = self.first + self.grace.mul_f64(ANSWER_BY);
        usual.max(postponed.min(last))
    }

    /// Returns when the node ends, even if an answer is not out by then.
    #[must_use]
    pub fn end_at(&self) -> Instant {
        let usual = self.answer_at() + self.grace.mul_f64(ANSWERS_TAKE);
        usual.min(self.first + self.grace.mul_f64(END_BY))
    }
}
