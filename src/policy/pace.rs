//! How many requests a second a target is given, where its service states what a cold one bears.

use std::time::Instant;

/// Requests that may start at once at a cold target.
const COLD_BURST: f64 = 4.0;

/// Requests that may start at once at a warm target, which may turn cold without notice.
const WARM_BURST: f64 = 7.0;

/// How much faster than a cold target a warm one is paced. Together with [`WARM_BURST`] a second
/// holds less than 1.5 times the cold rate and 5 requests, the least bound of the deployments.
const WARM_FACTOR: f64 = 1.15;

/// Starts of one target as a token bucket.
#[derive(Debug, Clone)]
pub struct Pace {
    tokens: f64,
    updated: Instant,
}

impl Pace {
    /// Creates the pace of a target that was not seen before, and may be cold.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: COLD_BURST,
            updated: now,
        }
    }

    fn refill(&mut self, rate: f64, cold: bool, now: Instant) {
        let (rate, burst) = match cold {
            true => (rate, COLD_BURST),
            false => (rate * WARM_FACTOR, WARM_BURST),
        };
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + passed * rate).min(burst);
    }

    /// Tells whether a start is due. `rate` is what the cold target bears a second; 0 paces nothing.
    pub fn is_due(&mut self, rate: f64, cold: bool, now: Instant) -> bool {
        if rate <= 0.0 {
            return true;
        }
        self.refill(rate, cold, now);
        self.tokens >= 1.0
    }

    /// Takes up that a request starts.
    pub fn record_start(&mut self) {
        self.tokens -= 1.0;
    }
}
