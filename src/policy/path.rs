//! Health of the network paths from this node to other nodes. A path that fails is avoided by this
//! node only.

use std::time::{Duration, Instant};

/// How long a path is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);

/// Longest time for which a path is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(8);

/// The recent failures of one path.
#[derive(Debug, Clone, Copy, Default)]
pub struct PathHealth {
    failures: u32,
    avoided_until: Option<Instant>,
}

impl PathHealth {
    /// Records that the path worked, which ends its avoidance.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the path failed. Each consecutive failure doubles the time for which it is avoided.
    pub fn record_failure(&mut self, now: Instant) {
        let duration = FIRST_AVOIDANCE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.avoided_until = Some(now + duration.min(MAX_AVOIDANCE));
    }

    /// Returns whether the path is to be avoided.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
