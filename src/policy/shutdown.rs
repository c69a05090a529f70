//! The schedule of a node's shutdown.

use std::time::{Duration, Instant};

/// Fraction of the grace period after which requests that still depend on the node also run elsewhere. Most have ended
/// by then; the others need the rest to wait for a slot and to run.
const MOVE_AT: f64 = 0.5;

/// Fraction of the grace period after which requests that still run get a last answer. Deployments
/// excuse answers in the last sixth of a grace period, which may be that of a later roll-out than the
/// one that sent the signal. A request that still runs when the node is killed is excused as well.
const ANSWER_AT: f64 = 0.975;

/// Fraction of the grace period after which the node exits, even if some answers have not been sent
/// yet. The end of its process takes time as well, more so with a fraction of a processor.
const END_AT: f64 = 0.985;

value! {
    /// A shutdown signal.
    pub struct Shutdown {
        /// When the signal was received.
        pub signalled: Instant,
        /// Time between the signal and the kill.
        pub grace: Duration,
    }
}

impl Shutdown {
    /// Returns when requests that depend on the node are sent to another one as well.
    #[must_use]
    pub fn move_at(&self) -> Instant {
        self.signalled + self.grace.mul_f64(MOVE_AT)
    }

    /// Returns when requests that still run get a last answer.
    #[must_use]
    pub fn answer_at(&self) -> Instant {
        self.signalled + self.grace.mul_f64(ANSWER_AT)
    }

    /// Returns when the node exits.
    #[must_use]
    pub fn end_at(&self) -> Instant {
        self.signalled + self.grace.mul_f64(END_AT)
    }
}
