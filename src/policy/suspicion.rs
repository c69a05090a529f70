//! Quick evidence against a target that fails for seconds while its health looks good.
//!
//! The sequential test of [`super::eject`] is sure and slow. Where routes state an objective, an
//! exchange that lasts far beyond its work is a sign that comes seconds before any timeout, so that
//! a few signs in a short time take the target out for a short time.

use std::time::{Duration, Instant};

/// Signs, weighed by their age, that take a target out.
const LIMIT: f64 = 1.6;

/// Time in which a sign loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// How long a target stays out the first time.
const FIRST_WAIT: Duration = Duration::from_millis(2_000);

/// How long a target stays out when it comes back failing again and again.
const LONGEST_WAIT: Duration = Duration::from_millis(4_000);

/// A target that stayed in this long starts over with the first wait.
const FORGIVEN_AFTER: Duration = Duration::from_secs(6);

/// What is left of the evidence when a target returns: one more sign takes it out again.
const RETURN_SCORE: f64 = 0.8;

value! {
    /// What an exchange showed.
    pub enum Sign {
        /// The answer came, in good time.
        Good,
        /// The exchange lasts beyond what its route's objective allows.
        Hangs,
        /// An exchange that was counted as hanging ended well after all.
        Recovered,
        /// The target answered that it failed.
        Failed,
        /// The target broke off, or answered with something that is no answer.
        Broke,
        /// It cannot be connected to.
        Unreachable,
    }
}

impl Sign {
    fn weight(self) -> f64 {
        match self {
            Self::Good => -0.15,
            Self::Recovered => -0.6,
            Self::Hangs | Self::Broke => 1.0,
            Self::Failed => 0.5,
            Self::Unreachable => LIMIT,
        }
    }
}

/// The evidence against one target.
#[derive(Debug, Clone)]
pub struct Suspicion {
    score: f64,
    at: Instant,
    until: Option<Instant>,
    returned: Option<Instant>,
    times: u32,
}

impl Suspicion {
    /// Starts without evidence.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            score: 0.0,
            at: now,
            until: None,
            returned: None,
            times: 0,
        }
    }

    /// Takes up a sign, and tells whether it takes the target out.
    pub fn record(&mut self, sign: Sign, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let kept = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.score = (self.score * kept + sign.weight()).max(0.0);
        if self.score < LIMIT || self.out(now) {
            return false;
        }
        let steady = self.returned.is_none_or(|at| now >= at + FORGIVEN_AFTER);
        self.times = if steady { 0 } else { self.times + 1 };
        let wait = FIRST_WAIT * 2_u32.saturating_pow(self.times.min(8));
        let until = now + wait.min(LONGEST_WAIT);
        self.until = Some(until);
        self.returned = Some(until);
        self.score = RETURN_SCORE;
        true
    }

    /// Tells whether the target is out.
    #[must_use]
    pub fn out(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the evidence as it was last counted.
    #[must_use]
    pub fn score(&self) -> f64 {
        self.score
    }
}
