//! When a node that was told to stop gives its last answers, and when it ends.

use std::time::{Duration, Instant};

/// Share of the grace period after which what still runs gets a last answer. An answer in the last sixth is
/// excused, and a deployment may count that from a later roll-out than the signal that came; a request
/// that is still at work when the kill comes is excused as well.
const ANSWER_AT: f64 = 0.975;

/// Share after which the node ends, even if an answer is not out by then.
const END_AT: f64 = 0.98;

value! {
    /// The signal that told a node to stop.
    pub struct Shutdown {
        /// When it came.
        pub signalled: Instant,
        /// How long after it the node is killed.
        pub grace: Duration,
    }
}

impl Shutdown {
    /// Returns when what still runs gets a last answer.
    #[must_use]
    pub fn answer_at(&self) -> Instant {
        self.signalled + self.grace.mul_f64(ANSWER_AT)
    }

    /// Returns when the node ends.
    #[must_use]
    pub fn end_at(&self) -> Instant {
        self.signalled + self.grace.mul_f64(END_AT)
    }
}
