//! The rate at which requests start at a target, for services that configure the rate a cold target
//! can handle.

use std::time::{Duration, Instant};

use crate::policy::tokens::Tokens;

/// Requests that may start at once at a cold target.
const COLD_BURST: f64 = 4.0;

/// Requests that may start at once at a warm target, which may become cold without notice.
const WARM_BURST: f64 = 7.0;

/// Rate of a warm target as a multiple of the cold rate. Together with [`WARM_BURST`], it keeps the
/// requests that start in a second below 1.5 times the cold rate plus 5, the strictest bound of the
/// deployments, for cold rates of 6 or more.
const WARM_FACTOR: f64 = 1.15;

/// A token bucket of the requests that may start at one target.
#[derive(Debug, Clone)]
pub struct Pace {
    tokens: Tokens,
}

impl Pace {
    /// Creates the pace of a target that has not been seen before and may be cold.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: Tokens::new(COLD_BURST, now),
        }
    }

    /// Refills the tokens, and returns the rate at which they arrive.
    fn refill(&mut self, rate: f64, cold: bool, now: Instant) -> f64 {
        let (rate, burst) = match cold {
            true => (rate, COLD_BURST),
            false => (rate * WARM_FACTOR, WARM_BURST),
        };
        self.tokens.refill(rate, burst, now);
        rate
    }

    /// Returns whether a request may start now. `rate` is the number of requests a second that a cold
    /// target can handle; 0 turns pacing off.
    pub fn may_start(&mut self, rate: f64, cold: bool, now: Instant) -> bool {
        if rate <= 0.0 {
            return true;
        }
        self.refill(rate, cold, now);
        self.tokens.is_available()
    }

    /// Returns the time until a request may start.
    pub fn time_to_start(&mut self, rate: f64, cold: bool, now: Instant) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.refill(rate, cold, now);
        self.tokens.time_until(1.0, rate)
    }

    /// Records that a request starts.
    pub fn record_start(&mut self) {
        self.tokens.spend();
    }
}
