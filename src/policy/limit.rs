//! How many requests a guard lets a target run at once, between cold and warm.
//!
//! The limit drops at once and climbs on good answers only.

use std::time::Duration;

/// What a target in a cold start is trusted with.
const COLD_LIMIT: f64 = 1.0;

/// A good answer slower than this many times the usual shows that a target has turned cold.
const COLD_RATIO: f64 = 4.0;

/// Answers faster than this never look cold.
const COLD_LATENCY: Duration = Duration::from_millis(40);

/// Consecutive slow answers that make a target cold.
const COLD_ANSWERS: u32 = 3;

/// Answers after which the usual latency is known.
const KNOWN_ANSWERS: u32 = 20;

/// Weight of one answer in the usual latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// What a shed answer or a timeout leaves of the limit.
const BACKOFF: f64 = 0.5;

/// How a target took a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeResult {
    /// It answered, this long after the request was sent.
    Good(Duration),
    /// It said that it has too much to do.
    Shed,
    /// It broke off.
    Aborted,
    /// It gave no answer in time.
    TimedOut,
    /// It answered with an error of its own.
    Error,
    /// It could not be connected to.
    Unreachable,
}

/// The adaptive limit of one target.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: f64,
    allowed: f64,
    latency: f64,
    answers: u32,
    slow_answers: u32,
}

impl Limit {
    /// Creates the limit of a target that announced itself.
    #[must_use]
    pub fn new(slots: u32, cold: bool) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            allowed: if cold { COLD_LIMIT } else { slots },
            latency: 0.0,
            answers: 0,
            slow_answers: 0,
        }
    }

    /// Returns how many requests may run at once.
    #[must_use]
    pub fn allowed(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = self.allowed as usize;
        allowed.max(1)
    }

    /// Returns the usual latency, zero while unknown.
    #[must_use]
    pub fn usual_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency)
    }

    /// Tells whether the target is not trusted with all its slots.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.allowed + 0.5 < self.slots
    }

    /// Takes up that the target announced to be cold.
    pub fn set_cold(&mut self) {
        self.allowed = COLD_LIMIT;
        self.slow_answers = 0;
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

    /// Takes up how a request went; `others` is the latency of the service's other targets, zero
    /// while unknown.
    pub fn record(&mut self, taken: ExchangeResult, others: Duration) {
        match taken {
            ExchangeResult::Good(latency) if self.looks_cold(latency, others) => {
                self.record_latency(latency);
                self.slow_answers += 1;
                if self.slow_answers >= COLD_ANSWERS {
                    self.set_cold();
                }
            }
            ExchangeResult::Good(latency) => self.increase(latency),
            ExchangeResult::Shed => self.allowed = (self.allowed * BACKOFF).max(COLD_LIMIT),
            ExchangeResult::Aborted | ExchangeResult::TimedOut | ExchangeResult::Error | ExchangeResult::Unreachable => {
                self.slow_answers += 1;
                self.allowed = (self.allowed * BACKOFF).max(COLD_LIMIT);
            }
        }
    }

    /// A target looks cold beside the others, so that a service that is slow as a whole does not;
    /// one without others looks cold beside its own past.
    fn looks_cold(&self, latency: Duration, others: Duration) -> bool {
        let usual = match others.is_zero() {
            true => self.latency,
            false => others.as_secs_f64(),
        };
        self.answers >= KNOWN_ANSWERS
            && latency > COLD_LATENCY
            && latency.as_secs_f64() > COLD_RATIO * usual
    }

    fn record_latency(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.answers));
        self.latency += weight * (latency.as_secs_f64() - self.latency);
    }

    fn increase(&mut self, latency: Duration) {
        self.slow_answers = 0;
        self.record_latency(latency);
        self.allowed = (self.allowed + 1.0 / self.allowed).min(self.slots);
    }
}
