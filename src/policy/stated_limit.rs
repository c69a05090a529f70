//! The rate of requests that a target states in its responses that it takes from all nodes together.

use std::time::{Duration, Instant};

use crate::policy::tokens::Tokens;

/// Lowest rate, in requests a second, at which requests start whatever the target states: only its responses
/// show that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Requests that may start at once, in seconds of the stated rate; at least one.
const BURST_SECONDS: f64 = 1.0;

/// What a response states about the rate of requests that its target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedRate {
    /// There is no limit.
    Unlimited,
    /// The target takes this many requests a second.
    Limited(f64),
    /// The statement can't be read.
    Malformed,
}

impl StatedRate {
    /// Parses the value of a header, `None` if the response has none.
    #[must_use]
    pub fn parse(value: Option<&str>) -> Self {
        let Some(value) = value else {
            return Self::Unlimited;
        };
        match value.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Limited(rate),
            _ => Self::Malformed,
        }
    }
}

/// A token bucket of the requests that may start at a target that has stated a limit.
#[derive(Debug, Clone)]
pub struct StatedLimit {
    rate: f64,
    tokens: Tokens,
    /// When the target last stated it.
    stated: Instant,
}

impl StatedLimit {
    /// Creates the bucket of a limit that a target has just stated. It starts empty, since the target is
    /// overloaded.
    #[must_use]
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: Tokens::new(0.0, now),
            stated: now,
        }
    }

    /// Applies a further statement of the target.
    pub fn restate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
        // Without time passing, this only applies the new burst.
        self.refill(now);
        self.stated = now;
    }

    /// Returns whether a response without a limit ends this one. Responses may arrive in another order than
    /// they were made, so its request must have been sent after the last statement.
    #[must_use]
    pub fn is_ended_by(&self, sent: Instant) -> bool {
        sent >= self.stated
    }

    /// Returns the rate in requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens.refill(self.rate, self.burst(), now);
    }

    /// Returns the time until a request may start that `ahead` others precede.
    pub fn time_to_start(&mut self, ahead: usize, now: Instant) -> Duration {
        self.refill(now);
        self.tokens.time_to_start(ahead, self.rate)
    }

    /// Returns whether a request may start now.
    pub fn may_start(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens.is_available()
    }

    /// Records that a request starts.
    pub fn record_start(&mut self) {
        self.tokens.spend();
    }
}
