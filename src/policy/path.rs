//! Paths from one node to another: one that fails from here is avoided only here.

use std::time::{Duration, Instant};

/// How long a path is avoided after its first failure.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// How long a path is avoided at most.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// What is known of a path.
#[derive(Debug, Clone, Copy, Default)]
pub struct PathHealth {
    failures: u32,
    avoided_until: Option<Instant>,
}

impl PathHealth {
    /// Takes up that the path worked.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Takes up that the path failed; each failure in a row doubles the wait.
    pub fn record_failure(&mut self, now: Instant) {
        let wait = FIRST_WAIT * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.avoided_until = Some(now + wait.min(MAX_WAIT));
    }

    /// Tells whether the path is avoided.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
