//! Gray failures: a sequential test on real traffic, and the floor that ejection leaves.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// Share of bad answers that a healthy target may have.
const HEALTHY_SHARE: f64 = 0.01;

/// Share of bad answers that the test looks for, at least.
const FAILING_SHARE: f64 = 0.3;

/// How much worse than the others a target must be when they have bad answers too.
const WORSE_THAN_OTHERS: f64 = 3.0;

/// Evidence, as a log of likelihoods, that ejects: one false alarm in about a million answers.
const EJECTION_EVIDENCE: f64 = 13.8;

/// How many times slower than the others an answer must be to be bad.
const SLOW_RATIO: f64 = 4.0;

/// Answers faster than this are never bad for their time.
const SLOW_LATENCY: Duration = Duration::from_millis(100);

/// How long a target stays out the first time.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// How long a target stays out at most.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// A target that stayed in this long starts over with the first wait.
const FORGIVEN_AFTER: Duration = Duration::from_secs(120);

/// What the other targets of the service are like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OtherTargets {
    /// Their share of bad answers.
    pub failure_share: f64,
    /// Their median latency; zero while unknown.
    pub latency: Duration,
}

/// The test of one target.
#[derive(Debug, Clone)]
pub struct Detector {
    evidence: f64,
    failure_share: f64,
    ejected_until: Option<Instant>,
    restored: Option<Instant>,
    ejections: u32,
}

/// Weight of one answer in the share of bad ones.
const SHARE_WEIGHT: f64 = 0.02;

impl Default for Detector {
    fn default() -> Self {
        Self {
            evidence: 0.0,
            failure_share: 0.0,
            ejected_until: None,
            restored: None,
            ejections: 0,
        }
    }
}

impl Detector {
    /// Tells whether an answer that came is too slow beside the others.
    #[must_use]
    pub fn is_slow(latency: Duration, others: OtherTargets) -> bool {
        latency > SLOW_LATENCY
            && !others.latency.is_zero()
            && latency.as_secs_f64() > SLOW_RATIO * others.latency.as_secs_f64()
    }

    /// Takes up one answer, and tells whether it ejects the target.
    pub fn record(&mut self, bad: bool, others: OtherTargets, now: Instant) -> bool {
        self.failure_share += SHARE_WEIGHT * (f64::from(u8::from(bad)) - self.failure_share);
        let healthy = others.failure_share.clamp(HEALTHY_SHARE, 0.9);
        let failing = (WORSE_THAN_OTHERS * healthy).clamp(FAILING_SHARE, 0.99);
        let likelihood = if bad {
            (failing / healthy).ln()
        } else {
            ((1.0 - failing) / (1.0 - healthy)).ln()
        };
        self.evidence = (self.evidence + likelihood).max(0.0);
        if self.evidence < EJECTION_EVIDENCE || self.ejected_until.is_some() {
            return false;
        }
        self.eject(now);
        true
    }

    fn eject(&mut self, now: Instant) {
        let steady = self.restored.is_none_or(|at| now >= at + FORGIVEN_AFTER);
        self.ejections = if steady { 1 } else { self.ejections + 1 };
        let wait = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections - 1);
        self.ejected_until = Some(now + wait.min(MAX_EJECTION));
        self.evidence = 0.0;
    }

    /// Tells whether the target is out.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Tells whether the wait is over, so that a probe may bring the target back.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|at| now >= at)
    }

    /// Brings the target back; half of the evidence against it stays.
    pub fn restore(&mut self, now: Instant) {
        self.ejected_until = None;
        self.restored = Some(now);
        self.evidence = EJECTION_EVIDENCE / 2.0;
    }

    /// Keeps the target out for another, longer wait.
    pub fn extend(&mut self, now: Instant) {
        self.restored = Some(now);
        self.eject(now);
    }

    /// Returns the share of bad answers.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}

/// One target as the floor sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetHealth {
    /// Capacity in slots.
    pub slots: f64,
    /// Whether its guard found it failing.
    pub failing: bool,
    /// How bad it is, to compare failing targets.
    pub severity: f64,
}

/// Returns which targets may be ejected so that the floor stays: the worst first.
///
/// `standings` holds the targets that are announced, warm and in a data centre in service.
#[must_use]
pub fn ejectable(standings: &[TargetHealth], floor: f64) -> Vec<bool> {
    let total: f64 = standings.iter().map(|s| s.slots).sum();
    let mut left = total;
    let mut order: Vec<usize> = (0..standings.len())
        .filter(|i| standings[*i].failing)
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&standings[*a], &standings[*b]);
        b.severity.partial_cmp(&a.severity).unwrap_or(Ordering::Equal)
    });
    let mut out = vec![false; standings.len()];
    for i in order {
        let rest = left - standings[i].slots;
        if rest + f64::EPSILON < floor * total {
            break;
        }
        out[i] = true;
        left = rest;
    }
    out
}
