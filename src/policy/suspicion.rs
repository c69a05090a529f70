//! Detection of targets that fail or hang for seconds while their health checks pass.
//!
//! Each recent exchange is weighted by the logarithm of a likelihood ratio: how much likelier its
//! current state is if the target hangs on most of its requests than if it is healthy. A running
//! exchange is evidence before it ends, and the evidence of all exchanges is added up.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Share of requests that a failing target still answers as usual.
const FAILING_ANSWERS: f64 = 0.25;

/// Shape parameter of the log-logistic distribution that is assumed for the latencies of a class. Real
/// distributions are steeper or flatter.
const STEEPNESS: f64 = 3.5;

/// Greatest weight of a running or abandoned exchange.
const MAX_WEIGHT: f64 = 4.0;

/// Time constant with which the weight of an exchange decays; it falls to about a third in this time.
/// Failures of this kind last for seconds.
const DECAY_TIME: Duration = Duration::from_millis(3_000);

/// Exchanges that started longer ago than this are dropped.
const SAMPLE_RETENTION: Duration = Duration::from_secs(12);

/// Greatest number of recorded exchanges.
const MAX_SAMPLES: usize = 48;

/// Weight of an error that the target answered within [`EARLY_SHARE`].
const EARLY_ERROR_WEIGHT: f64 = 1.5;

/// Weight of a later error, which one of the target's own calls may have caused.
const LATE_ERROR_WEIGHT: f64 = 0.2;

/// Fraction of the class's latency within which an error counts as early.
const EARLY_SHARE: f64 = 0.25;

/// Weight of a refusal by a target that has free slots.
const SHED_WEIGHT: f64 = 1.5;

/// Weight of an exchange that the target aborted.
const ABORTED_WEIGHT: f64 = 2.5;

/// Weight of a good answer that took more than [`LATE_RATIO`] times its class's latency.
const LATE_WEIGHT: f64 = 0.7;

/// How many times its class's latency a good answer must exceed to count as late.
const LATE_RATIO: f64 = 3.0;

/// Evidence from which a target gets no requests: about even odds if one in twenty targets fails.
const EXCLUSION_EVIDENCE: f64 = 2.9;

/// Evidence from which a target is suspected. It then gets no non-idempotent requests, repeats or calls
/// of targets, as long as other targets have less evidence against them.
const SUSPICION_EVIDENCE: f64 = 0.8;

/// Weight of one answer in the moving average of its class's latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Fraction of its objective that is assumed as a class's latency until a good answer is recorded.
const INITIAL_SHARE: f64 = 0.35;

value! {
    /// A class of requests with similar latencies: those with the same objective and idempotence.
    pub struct LatencyClass {
        /// The route's objective in milliseconds.
        pub objective: u64,
        /// Whether the requests may be executed more than once.
        pub idempotent: bool,
    }

    /// How an exchange ended.
    pub enum ExchangeEnd {
        /// The target answered successfully.
        Good,
        /// The target answered with an error.
        Error,
        /// The target refused the request although it had free slots.
        Shed,
        /// The target closed the connection during the exchange.
        Aborted,
        /// No answer came in time, or the request was given up.
        Abandoned,
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    ticket: u64,
    started: Instant,
    /// Latency of its class when the exchange started.
    expected: Duration,
    /// Weight of the exchange; `None` while it runs.
    weight: Option<f64>,
}

/// The evidence that one target fails.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    samples: VecDeque<Sample>,
    /// Moving average of the latency of good answers in seconds.
    latencies: HashMap<LatencyClass, f64>,
}

impl Suspicion {
    /// Returns the moving average of a class's latency, or an assumption while it is unknown.
    #[must_use]
    pub fn expected_latency(&self, class: LatencyClass) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "objectives are short")]
        let assumed = class.objective as f64 / 1e3 * INITIAL_SHARE;
        let seconds = self.latencies.get(&class).copied().unwrap_or(assumed);
        Duration::from_secs_f64(seconds)
    }

    /// Records the start of an exchange. `ticket` identifies it.
    pub fn begin(&mut self, ticket: u64, class: LatencyClass, now: Instant) {
        let expected = self.expected_latency(class);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            ticket,
            started: now,
            expected,
            weight: None,
        });
    }

    /// Records the end of an exchange.
    pub fn end(&mut self, ticket: u64, class: LatencyClass, end: ExchangeEnd, now: Instant) {
        let sample = self.samples.iter_mut().find(|s| s.ticket == ticket);
        let Some(sample) = sample.filter(|s| s.weight.is_none()) else {
            return;
        };
        let latency = now.saturating_duration_since(sample.started);
        sample.weight = Some(match end {
            ExchangeEnd::Good if latency > sample.expected.mul_f64(LATE_RATIO) => LATE_WEIGHT,
            ExchangeEnd::Good => FAILING_ANSWERS.ln(),
            ExchangeEnd::Error if latency < sample.expected.mul_f64(EARLY_SHARE) => {
                EARLY_ERROR_WEIGHT
            }
            ExchangeEnd::Error => LATE_ERROR_WEIGHT,
            ExchangeEnd::Shed => SHED_WEIGHT,
            ExchangeEnd::Aborted => ABORTED_WEIGHT,
            ExchangeEnd::Abandoned => running_weight(latency, sample.expected),
        });
        if end == ExchangeEnd::Good {
            let average = self
                .latencies
                .entry(class)
                .or_insert(sample.expected.as_secs_f64());
            *average += LATENCY_WEIGHT * (latency.as_secs_f64() - *average);
        }
    }

    /// Returns the evidence that the target fails as a log-likelihood ratio; 0 is neutral.
    pub fn evidence(&mut self, now: Instant) -> f64 {
        let is_old = |s: &Sample| now >= s.started + SAMPLE_RETENTION;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        let decayed_weight = |sample: &Sample| {
            let age = now.saturating_duration_since(sample.started);
            let weight = sample
                .weight
                .unwrap_or_else(|| running_weight(age, sample.expected));
            weight * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
        };
        self.samples.iter().map(decayed_weight).sum()
    }

    /// Returns whether the target is to get no requests.
    pub fn is_excluded(&mut self, now: Instant) -> bool {
        self.evidence(now) >= EXCLUSION_EVIDENCE
    }

    /// Returns whether the target is suspected, so that it is to get no non-idempotent requests,
    /// repeats or calls of targets as long as other targets have less evidence against them.
    pub fn is_suspected(&mut self, now: Instant) -> bool {
        self.evidence(now) >= SUSPICION_EVIDENCE
    }
}

/// Returns the logarithm of how much likelier an exchange is still running if its target hangs than if
/// it is healthy.
fn running_weight(age: Duration, expected: Duration) -> f64 {
    let ratio = age.as_secs_f64() / expected.as_secs_f64().max(1e-3);
    let still_running = 1.0 / (1.0 + ratio.powf(STEEPNESS));
    let weight = ((1.0 - FAILING_ANSWERS + FAILING_ANSWERS * still_running) / still_running).ln();
    weight.min(MAX_WEIGHT)
}
