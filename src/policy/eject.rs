//! Ejection of targets that fail or are slow although they pass health checks: a sequential
//! likelihood-ratio test on real traffic, and the floor, the share of capacity that ejection must
//! leave.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// Share of failures that a healthy target may have. Errors, missing answers and answers that are too
/// slow ([`Detector::is_slow`]) count as failures.
const HEALTHY_SHARE: f64 = 0.01;

/// Smallest share of failures that the test looks for.
const FAILING_SHARE: f64 = 0.3;

/// Multiple of the other targets' share of failures that the test looks for, if it exceeds
/// [`FAILING_SHARE`].
const WORSE_RATIO: f64 = 3.0;

/// Evidence, as a log-likelihood ratio, that ejects a target: about one false alarm in a million
/// answers.
const EJECTION_EVIDENCE: f64 = 13.8;

/// How many times the other targets' latency an answer must exceed to count as a failure.
const SLOW_RATIO: f64 = 4.0;

/// Answers that take no longer than this never count as too slow.
const SLOW_LATENCY: Duration = Duration::from_millis(100);

/// Duration of a target's first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// The next ejection of a target lasts for [`FIRST_EJECTION`] again if the last one ended at least this
/// long ago.
const RESET_AFTER: Duration = Duration::from_secs(120);

/// Weight of one answer in the moving average of failures.
const SHARE_WEIGHT: f64 = 0.02;

/// Statistics of the other targets of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OtherTargets {
    /// Their share of failures.
    pub failure_share: f64,
    /// Their median latency; zero while unknown.
    pub latency: Duration,
}

/// The sequential test of one target.
#[derive(Debug, Clone)]
pub struct Detector {
    evidence: f64,
    failure_share: f64,
    /// When a probe may restore the target; `None` unless it is ejected.
    ejected_until: Option<Instant>,
    /// When the target was last restored or probed without success.
    restored: Option<Instant>,
    /// Consecutive ejections, which determine the duration of the next one.
    ejections: u32,
}

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
    /// Returns whether an answer is too slow compared to those of the other targets.
    #[must_use]
    pub fn is_slow(latency: Duration, others: OtherTargets) -> bool {
        latency > SLOW_LATENCY
            && !others.latency.is_zero()
            && latency.as_secs_f64() > SLOW_RATIO * others.latency.as_secs_f64()
    }

    /// Records one answer or failure, and returns whether it ejects the target.
    pub fn record(&mut self, failed: bool, others: OtherTargets, now: Instant) -> bool {
        self.failure_share += SHARE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_share);
        let healthy = others.failure_share.clamp(HEALTHY_SHARE, 0.9);
        let failing = (WORSE_RATIO * healthy).clamp(FAILING_SHARE, 0.99);
        let log_ratio = if failed {
            (failing / healthy).ln()
        } else {
            ((1.0 - failing) / (1.0 - healthy)).ln()
        };
        self.evidence = (self.evidence + log_ratio).max(0.0);
        if self.evidence < EJECTION_EVIDENCE || self.ejected_until.is_some() {
            return false;
        }
        self.eject(now);
        true
    }

    fn eject(&mut self, now: Instant) {
        let is_first = self
            .restored
            .is_none_or(|restored| now >= restored + RESET_AFTER);
        self.ejections = if is_first { 1 } else { self.ejections + 1 };
        let duration = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections - 1);
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.evidence = 0.0;
    }

    /// Returns whether the target is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the ejection has lasted long enough for a probe to restore the target.
    #[must_use]
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|at| now >= at)
    }

    /// Ends the ejection. Half of the evidence that ejects a target remains.
    pub fn restore(&mut self, now: Instant) {
        self.ejected_until = None;
        self.restored = Some(now);
        self.evidence = EJECTION_EVIDENCE / 2.0;
    }

    /// Ejects the target again after a failed probe, for longer unless that is the longest duration.
    pub fn extend(&mut self, now: Instant) {
        self.restored = Some(now);
        self.eject(now);
    }

    /// Returns the moving average of failures among the answers.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}

/// The properties of a target that decide whether the floor allows its ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetHealth {
    /// Capacity in slots.
    pub slots: f64,
    /// Whether its egress node has found it failing.
    pub failing: bool,
    /// Severity of the failure, which orders the failing targets.
    pub severity: f64,
}

/// Returns for each target whether it may be ejected without going below the floor. Targets with the
/// most severe failures go first.
///
/// `floor` is the share of the total capacity that must remain. `targets` are those that are announced
/// and in a data centre in service; a cold one counts with no slots.
#[must_use]
pub fn ejectable(targets: &[TargetHealth], floor: f64) -> Vec<bool> {
    let total: f64 = targets.iter().map(|t| t.slots).sum();
    let mut remaining = total;
    let mut order: Vec<usize> = (0..targets.len()).filter(|i| targets[*i].failing).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&targets[*a], &targets[*b]);
        b.severity
            .partial_cmp(&a.severity)
            .unwrap_or(Ordering::Equal)
    });
    let mut may_eject = vec![false; targets.len()];
    for i in order {
        let reduced = remaining - targets[i].slots;
        if reduced + f64::EPSILON < floor * total {
            break;
        }
        may_eject[i] = true;
        remaining = reduced;
    }
    may_eject
}
