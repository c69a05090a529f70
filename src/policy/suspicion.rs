//! How likely a target fails for seconds while its health looks good.
//!
//! Each exchange that began a short time ago is weighed: how much likelier is what is seen of it so far
//! when the target hangs most of its requests than when it is well. An exchange that runs is evidence
//! before it ends, and several that run are evidence together.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Share of requests that a failing target still answers well.
const FAILING_ANSWERS: f64 = 0.25;

/// Steepness of the log-logistic distribution of a class's times; real ones are steeper or flatter.
const STEEPNESS: f64 = 3.5;

/// Bound of what one exchange may weigh.
const MAX_WEIGHT: f64 = 4.0;

/// Time in which the weight of an exchange falls to a third: failures of this kind last seconds.
const DECAY_TIME: Duration = Duration::from_millis(3_000);

/// Exchanges that began longer ago than this are forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(12);

/// Exchanges that are remembered.
const MAX_SAMPLES: usize = 48;

/// Weight of an error that the target answered at once.
const EARLY_ERROR_WEIGHT: f64 = 1.5;

/// Weight of an error after some work: one of the target's own calls may have failed instead.
const LATE_ERROR_WEIGHT: f64 = 0.2;

/// Share of its class's time within which an error comes at once.
const EARLY_SHARE: f64 = 0.25;

/// Weight of a refusal of a target that has free slots.
const SHED_WEIGHT: f64 = 1.5;

/// Weight of an exchange that the target broke off.
const ABORTED_WEIGHT: f64 = 2.5;

/// Weight of a good answer that took several times its class's time.
const LATE_WEIGHT: f64 = 0.7;

/// How many times its class's time a good answer takes to be late.
const LATE_RATIO: f64 = 3.0;

/// Evidence at which a target gets no requests: about even odds, when one in twenty targets fails.
const EXCLUSION_EVIDENCE: f64 = 2.9;

/// Evidence at which a target gets no requests that need care, while others have less.
const SUSPICION_EVIDENCE: f64 = 0.8;

/// Weight of one exchange in the time of its class.
const LATENCY_WEIGHT: f64 = 0.1;

/// Share of its objective that a class's time is taken for until it is known.
const INITIAL_SHARE: f64 = 0.35;

value! {
    /// Requests that take about the same time: those of one objective.
    pub struct LatencyClass {
        /// The route's objective in milliseconds.
        pub objective: u64,
        /// Whether they may run more than once.
        pub idempotent: bool,
    }

    /// How an exchange ended.
    pub enum ExchangeEnd {
        /// The answer came.
        Good,
        /// The target answered that it failed.
        Error,
        /// The target refused, though it had room.
        Shed,
        /// The target broke off.
        Aborted,
        /// No answer came in time, or nobody waits for it any more.
        Abandoned,
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    ticket: u64,
    started: Instant,
    /// Usual time of its class when it began.
    expected: Duration,
    /// What it weighs, once it has ended.
    weight: Option<f64>,
}

/// The evidence about one target.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    samples: VecDeque<Sample>,
    latencies: HashMap<LatencyClass, f64>,
}

impl Suspicion {
    fn expected_latency(&self, class: LatencyClass) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "objectives are short")]
        let assumed = class.objective as f64 / 1e3 * INITIAL_SHARE;
        let seconds = self.latencies.get(&class).copied().unwrap_or(assumed);
        Duration::from_secs_f64(seconds)
    }

    /// Takes up that an exchange begins.
    pub fn begin(&mut self, ticket: u64, class: LatencyClass, now: Instant) {
        let usual = self.expected_latency(class);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            ticket,
            started: now,
            expected: usual,
            weight: None,
        });
    }

    /// Takes up that an exchange ends.
    pub fn end(&mut self, ticket: u64, class: LatencyClass, ending: ExchangeEnd, now: Instant) {
        let sample = self.samples.iter_mut().find(|s| s.ticket == ticket);
        let Some(sample) = sample.filter(|s| s.weight.is_none()) else {
            return;
        };
        let took = now.saturating_duration_since(sample.started);
        sample.weight = Some(match ending {
            ExchangeEnd::Good if took > sample.expected.mul_f64(LATE_RATIO) => LATE_WEIGHT,
            ExchangeEnd::Good => FAILING_ANSWERS.ln(),
            ExchangeEnd::Error if took < sample.expected.mul_f64(EARLY_SHARE) => EARLY_ERROR_WEIGHT,
            ExchangeEnd::Error => LATE_ERROR_WEIGHT,
            ExchangeEnd::Shed => SHED_WEIGHT,
            ExchangeEnd::Aborted => ABORTED_WEIGHT,
            ExchangeEnd::Abandoned => running_weight(took, sample.expected),
        });
        if ending == ExchangeEnd::Good {
            let time = self
                .latencies
                .entry(class)
                .or_insert(sample.expected.as_secs_f64());
            *time += LATENCY_WEIGHT * (took.as_secs_f64() - *time);
        }
    }

    /// Returns the evidence that the target fails, as a log of likelihoods; 0 speaks for neither.
    pub fn evidence(&mut self, now: Instant) -> f64 {
        let old = |s: &Sample| now >= s.started + FORGOTTEN_AFTER;
        while self.samples.front().is_some_and(old) {
            self.samples.pop_front();
        }
        let weigh = |sample: &Sample| {
            let age = now.saturating_duration_since(sample.started);
            let weight = sample
                .weight
                .unwrap_or_else(|| running_weight(age, sample.expected));
            weight * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
        };
        self.samples.iter().map(weigh).sum()
    }

    /// Tells whether the target gets no requests.
    pub fn is_excluded(&mut self, now: Instant) -> bool {
        self.evidence(now) >= EXCLUSION_EVIDENCE
    }

    /// Tells whether the target gets no requests that need care, while others have less evidence
    /// against them.
    pub fn is_suspected(&mut self, now: Instant) -> bool {
        self.evidence(now) >= SUSPICION_EVIDENCE
    }
}

/// Returns how much likelier it is that an exchange still runs when its target hangs than when it is
/// well, as a logarithm.
fn running_weight(age: Duration, usual: Duration) -> f64 {
    let ratio = age.as_secs_f64() / usual.as_secs_f64().max(1e-3);
    let runs = 1.0 / (1.0 + ratio.powf(STEEPNESS));
    let weight = ((1.0 - FAILING_ANSWERS + FAILING_ANSWERS * runs) / runs).ln();
    weight.min(MAX_WEIGHT)
}
