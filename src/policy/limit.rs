//! The adaptive limit of requests that a target runs at once, as its egress node applies it.
//!
//! The limit is reduced at once after failures, and increases gradually after good answers only.

use std::time::Duration;

use crate::policy::pace::ColdStart;

/// Limit of a cold target, in requests at once.
const COLD_LIMIT: f64 = 1.0;

/// How many times the usual latency a good answer must exceed to indicate that a target is cold.
const COLD_RATIO: f64 = 4.0;

/// Answers that take no longer than this never indicate a cold target.
const COLD_LATENCY: Duration = Duration::from_millis(40);

/// Number of consecutive slow answers or failures from which a slow answer marks a target as cold.
const COLD_ANSWERS: u32 = 3;

/// Answers after which the usual latency is considered known.
const MIN_ANSWERS: u32 = 20;

/// Weight of one answer in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// Factor by which a refusal or a failure reduces the limit.
const BACKOFF: f64 = 0.5;

/// The result of an exchange with a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The target answered, this long after the request was sent.
    Good(Duration),
    /// The target refused the request because of overload.
    Shed,
    /// The target closed the connection during the exchange.
    Aborted,
    /// The target did not answer in time.
    TimedOut,
    /// The target answered with a server error.
    Error,
    /// The connection to the target failed.
    Unreachable,
}

data! {
    /// What each target of a service can take, as the service is configured.
    #[derive(Copy, Default)]
    pub struct TargetLimits {
        /// Connections that a target accepts.
        pub connections: usize,
        /// What a target can take during a cold start.
        pub cold_start: ColdStart,
        /// Whether a target can run as many requests at once as the slots that it announces, so that the adaptive limit
        /// doesn't apply.
        pub stated_slots: bool,
    }
}

impl TargetLimits {
    /// Returns whether only its slots limit the requests that run at once at a target. The starts at a target that may
    /// be cold are paced instead.
    ///
    /// Load pattern: targets of full capacity fail a few requests of each hundred by themselves. A limit that every
    /// failure halves would leave most of their slots idle.
    #[must_use]
    pub fn uses_slots(&self) -> bool {
        self.stated_slots || self.cold_start.rate > 0.0
    }
}

/// The adaptive limit of one target.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: f64,
    allowed: f64,
    latency: f64,
    answers: u32,
    /// Consecutive answers that were slow, and failures.
    anomalies: u32,
}

impl Limit {
    /// Creates the limit of a target that has announced itself with this number of slots.
    #[must_use]
    pub fn new(slots: u32, cold: bool) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            allowed: if cold { COLD_LIMIT } else { slots },
            latency: 0.0,
            answers: 0,
            anomalies: 0,
        }
    }

    /// Returns how many requests may run at once.
    #[must_use]
    pub fn allowed(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = self.allowed as usize;
        allowed.max(1)
    }

    /// Returns the moving average of the latency; zero while unknown.
    #[must_use]
    pub fn usual_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency)
    }

    /// Returns whether the limit is more than half a slot below the target's slots.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.allowed + 0.5 < self.slots
    }

    /// Reduces the limit to that of a cold target.
    pub fn set_cold(&mut self) {
        self.allowed = COLD_LIMIT;
        self.anomalies = 0;
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u32) {
        let warm = !self.is_cold();
        self.slots = f64::from(slots.max(1));
        self.allowed = if warm {
            self.slots
        } else {
            self.allowed.min(self.slots)
        };
    }

    /// Records the result of an exchange. `others` is the latency of the service's other targets, zero
    /// while unknown.
    pub fn record(&mut self, result: ExchangeResult, others: Duration) {
        match result {
            ExchangeResult::Good(latency) if self.indicates_cold(latency, others) => {
                self.record_latency(latency);
                self.anomalies += 1;
                if self.anomalies >= COLD_ANSWERS {
                    self.set_cold();
                }
            }
            ExchangeResult::Good(latency) => self.increase(latency),
            ExchangeResult::Shed => self.allowed = (self.allowed * BACKOFF).max(COLD_LIMIT),
            ExchangeResult::Aborted
            | ExchangeResult::TimedOut
            | ExchangeResult::Error
            | ExchangeResult::Unreachable => {
                self.anomalies += 1;
                self.allowed = (self.allowed * BACKOFF).max(COLD_LIMIT);
            }
        }
    }

    /// Returns whether an answer indicates that the target is cold. Its latency is compared to that
    /// of the other targets, so that targets of a service that is slow as a whole don't count as
    /// cold. While theirs is unknown, it is compared to the target's own average.
    fn indicates_cold(&self, latency: Duration, others: Duration) -> bool {
        let usual = match others.is_zero() {
            true => self.latency,
            false => others.as_secs_f64(),
        };
        self.answers >= MIN_ANSWERS
            && latency > COLD_LATENCY
            && latency.as_secs_f64() > COLD_RATIO * usual
    }

    fn record_latency(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.answers));
        self.latency += weight * (latency.as_secs_f64() - self.latency);
    }

    fn increase(&mut self, latency: Duration) {
        self.anomalies = 0;
        self.record_latency(latency);
        self.allowed = (self.allowed + 1.0 / self.allowed).min(self.slots);
    }
}
