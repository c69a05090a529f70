//! Tokens that refill over time up to a limit; each start of a request spends one.

use std::time::{Duration, Instant};

/// The tokens of one bucket.
#[derive(Debug, Clone)]
pub struct Tokens {
    count: f64,
    updated: Instant,
}

impl Tokens {
    /// Creates a bucket that holds `count` tokens.
    #[must_use]
    pub fn new(count: f64, now: Instant) -> Self {
        Self {
            count,
            updated: now,
        }
    }

    /// Adds the tokens that have arrived at `rate`, in tokens a second, up to `burst` in all.
    pub fn refill(&mut self, rate: f64, burst: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.count = (self.count + passed * rate).min(burst);
    }

    /// Discards all tokens; from the instant `from` on, the bucket is refilled. What it lacks remains.
    pub fn restart(&mut self, from: Instant) {
        self.count = self.count.min(0.0);
        self.updated = from;
    }

    /// Adds tokens that have not arrived over time; the bucket may hold more than its burst until the next refill.
    pub fn add(&mut self, count: f64) {
        self.count += count;
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Returns up to when tokens have arrived.
    #[must_use]
    pub fn updated(&self) -> Instant {
        self.updated
    }

    /// Returns whether there is a whole token.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.has(1.0)
    }

    /// Returns whether there are this many tokens.
    #[must_use]
    pub fn has(&self, wanted: f64) -> bool {
        self.count >= wanted
    }

    /// Returns the time until there is a token at `rate`, in tokens a second, for a request that `ahead` others
    /// precede.
    #[must_use]
    pub fn time_to_start(&self, ahead: usize, rate: f64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let wanted = ahead as f64 + 1.0;
        Duration::from_secs_f64((wanted - self.count).max(0.0) / rate)
    }

    /// Spends a token.
    pub fn spend(&mut self) {
        self.count -= 1.0;
    }
}
