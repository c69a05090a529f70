//! The rate at which bytes were returned recently, and how long a number of them takes at that rate.

use std::time::{Duration, Instant};

/// Time constant of the moving sum.
const MEMORY: Duration = Duration::from_secs(2);

/// An exponentially decaying sum of bytes.
#[derive(Debug, Clone, Copy)]
pub struct Turnover {
    /// Rate in bytes a second that is assumed at least.
    least: f64,
    sum: f64,
    updated: Instant,
}

impl Turnover {
    /// Creates an empty sum, with the rate in bytes a second that is assumed at least.
    #[must_use]
    pub fn new(least: f64, now: Instant) -> Self {
        Self {
            least,
            sum: 0.0,
            updated: now,
        }
    }

    fn sum_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated);
        self.sum * (-passed.div_duration_f64(MEMORY)).exp()
    }

    /// Records that bytes were returned.
    #[expect(clippy::cast_precision_loss, reason = "bodies are small")]
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.sum = self.sum_at(now) + bytes as f64;
        self.updated = now;
    }

    /// Returns how long it takes until this many bytes are returned.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "bodies are small")]
    pub fn time_for(&self, bytes: usize, now: Instant) -> Duration {
        let rate = (self.sum_at(now) / MEMORY.as_secs_f64()).max(self.least);
        Duration::from_secs_f64(bytes as f64 / rate)
    }
}
