//! Compares the answers of a new version of a service with those of the old one.

use std::{
    collections::BTreeSet,
    fmt,
    time::{Duration, Instant},
};

use crate::policy::{rollout::Tallies, suspicion::LatencyClass};

/// By how much a failure rate may exceed that of the old version, as a share of all answers.
const FAILURE_MARGIN: f64 = 0.03;

/// Logarithm of the likelihood ratio, over all classes, from which failure rates are too high.
const FAILURE_EVIDENCE: f64 = 6.5;

/// Least failures of the new version that count, so that a crash or two are no verdict.
const MIN_FAILURES: u64 = 5;

/// Difference of the mean logarithms of latencies from which a version is slow: about twice the time.
const SLOW_DIFFERENCE: f64 = 0.7;

/// The number of standard errors that this difference has to exceed.
const SLOW_ERRORS: f64 = 4.0;

/// Standard deviation that is assumed for the logarithm of a latency.
const LATENCY_DEVIATION: f64 = 0.8;

/// Least latencies of each version that are compared.
const MIN_TIMED: u64 = 6;

/// Part of the new targets that is left out at most: those with the most failures, or the slowest.
const TRIMMED_PART: usize = 5;

/// Least new targets of which some are left out.
const MIN_TRIMMED: usize = 3;

/// Failures up to which a target is never left out, since it weighs little.
const KEPT_FAILURES: u64 = 2;

/// Latencies up to which a target is never left out.
const KEPT_TIMED: u64 = 3;

/// How far back the recent answers go.
const WINDOW: Duration = Duration::from_secs(3);

/// Shortest time between two snapshots of the counts.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Least recent answers of the old version that are compared with; fewer are replaced by all of its answers.
const MIN_RECENT: u64 = 30;

data! {
    /// The answers of a target to requests of one class.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Answers, including failures.
        pub answers: u64,
        /// Failures.
        pub failures: u64,
        /// Answers whose latency counts.
        pub timed: u64,
        /// Sum of the logarithms of these latencies.
        pub log_latency: f64,
    }

    /// The answers of one target.
    pub struct TargetTally {
        /// The target.
        pub target: String,
        /// Whether it is of the new version.
        pub new: bool,
        /// Its answers, by class.
        pub classes: Tallies,
    }
}

/// Whether a new version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing shows that it is bad.
    NotBad,
    /// It is bad, for this reason.
    Bad(&'static str),
}

impl Tally {
    /// Records an answer. `latency` is given if it counts.
    pub fn record(&mut self, failed: bool, latency: Option<Duration>) {
        self.answers += 1;
        self.failures += u64::from(failed);
        if let Some(latency) = latency {
            self.record_latency(latency);
        }
    }

    /// Records a latency of a request without an answer, which would have taken longer.
    pub fn record_latency(&mut self, latency: Duration) {
        self.timed += 1;
        self.log_latency += (latency.as_secs_f64() * 1e3).max(1.0).ln();
    }

    /// Adds the answers of another target.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_latency += other.log_latency;
    }

    /// Returns the answers since an earlier count; all if the target has restarted since.
    fn since(&self, earlier: &Self) -> Self {
        if self.answers < earlier.answers || self.timed < earlier.timed {
            return *self;
        }
        Self {
            answers: self.answers - earlier.answers,
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed - earlier.timed,
            log_latency: (self.log_latency - earlier.log_latency).max(0.0),
        }
    }

    fn mean_log(&self) -> f64 {
        self.log_latency / number(self.timed.max(1))
    }

    fn failure_rate(&self) -> f64 {
        number(self.failures) / number(self.answers.max(1))
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            answers, failures, ..
        } = self;
        let typical = self.mean_log().exp();
        write!(
            f,
            "answers {answers} failures {failures} typical {typical:.0} ms"
        )
    }
}

fn number(count: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are small")]
    let number = count as f64;
    number
}

/// The counts of earlier moments, from which recent answers are found.
#[derive(Debug, Clone, Default)]
pub struct History {
    snapshots: Vec<(Instant, Vec<TargetTally>)>,
}

impl History {
    /// Records the current counts, and judges the new version by all answers and by the recent ones.
    pub fn judge(&mut self, current: &[TargetTally], now: Instant) -> Verdict {
        let whole = judge(current, current);
        let verdict = match self.earlier(now) {
            Some(earlier) if whole == Verdict::NotBad => {
                judge(&recent_answers(current, earlier), current)
            }
            _ => whole,
        };
        self.record(current, now);
        verdict
    }

    /// Returns the newest snapshot that is at least [`WINDOW`] old.
    fn earlier(&self, now: Instant) -> Option<&[TargetTally]> {
        let old = |(at, _): &&(Instant, _)| *at + WINDOW <= now;
        self.snapshots
            .iter()
            .rev()
            .find(old)
            .map(|(_, tallies)| tallies.as_slice())
    }

    fn record(&mut self, current: &[TargetTally], now: Instant) {
        let last = self.snapshots.last().map(|(at, _)| *at);
        if last.is_some_and(|at| now < at + SNAPSHOT_INTERVAL) {
            return;
        }
        self.snapshots.push((now, current.to_vec()));
        let expired = self
            .snapshots
            .partition_point(|(at, _)| *at + WINDOW + 2 * SNAPSHOT_INTERVAL < now);
        self.snapshots.drain(..expired);
    }
}

fn recent_answers(current: &[TargetTally], earlier: &[TargetTally]) -> Vec<TargetTally> {
    let of_target = |tally: &TargetTally| earlier.iter().find(|e| e.target == tally.target);
    let recent = |tally: &TargetTally| {
        let before = of_target(tally);
        let since = |(class, count): (&LatencyClass, &Tally)| {
            let before = before.and_then(|b| b.classes.get(class));
            (*class, before.map_or(*count, |b| count.since(b)))
        };
        TargetTally {
            classes: tally.classes.iter().map(since).collect(),
            ..tally.clone()
        }
    };
    current.iter().map(recent).collect()
}

/// Judges the new version by some answers; `all` are those of the whole roll-out.
#[must_use]
pub fn judge(tallies: &[TargetTally], all: &[TargetTally]) -> Verdict {
    let classes: BTreeSet<LatencyClass> = tallies
        .iter()
        .flat_map(|t| t.classes.keys().copied())
        .collect();
    let mut evidence = 0.0;
    for class in classes {
        let recent = sum(&counts(tallies, class, false));
        let old = match recent.answers < MIN_RECENT {
            true => sum(&counts(all, class, false)),
            false => recent,
        };
        let new = counts(tallies, class, true);
        evidence += failure_evidence(&new, &old);
        if evidence > FAILURE_EVIDENCE {
            return Verdict::Bad("failures");
        }
        if is_slow(&new, &old) {
            return Verdict::Bad("latency");
        }
    }
    Verdict::NotBad
}

fn counts(tallies: &[TargetTally], class: LatencyClass, new: bool) -> Vec<Tally> {
    let of_version = tallies.iter().filter(|t| t.new == new);
    of_version
        .filter_map(|t| t.classes.get(&class).copied())
        .filter(|t| t.answers > 0 || t.timed > 0)
        .collect()
}

fn sum(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    for tally in tallies {
        sum.add(tally);
    }
    sum
}

/// Returns the sum over all targets but the worst ones of those that weigh much; with `badness`, worse targets have a
/// greater value.
fn trimmed(
    new: &[Tally],
    badness: impl Fn(&Tally) -> f64,
    weighs_much: impl Fn(&Tally) -> bool,
) -> Tally {
    let (mut heavy, mut kept): (Vec<Tally>, Vec<Tally>) = new.iter().partition(|t| weighs_much(t));
    heavy.sort_by(|a, b| badness(a).total_cmp(&badness(b)));
    let left_out = match new.len() >= MIN_TRIMMED {
        true => new.len().div_ceil(TRIMMED_PART),
        false => 0,
    };
    heavy.truncate(heavy.len().saturating_sub(left_out));
    kept.append(&mut heavy);
    sum(&kept)
}

/// Returns the logarithm of how much likelier the failures of the new version are by their own rate than by that of
/// the old one; 0 if they are no more frequent.
fn failure_evidence(new: &[Tally], old: &Tally) -> f64 {
    let heavy = |t: &Tally| t.failures > KEPT_FAILURES;
    let new = trimmed(new, |t| number(t.failures), heavy);
    // Without answers of the old version, one failure in two is assumed.
    let usual = (number(old.failures) + 0.5) / (number(old.answers) + 1.0);
    let allowed = (usual + FAILURE_MARGIN).min(0.99);
    let rate = new.failure_rate();
    match rate > allowed && new.failures >= MIN_FAILURES {
        true => number(new.answers) * divergence(rate, allowed),
        false => 0.0,
    }
}

/// Returns the divergence of a failure rate from another one.
fn divergence(rate: f64, from: f64) -> f64 {
    let term = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    term(rate, from) + term(1.0 - rate, 1.0 - from)
}

/// Returns whether the new version takes several times as long as the old one.
fn is_slow(new: &[Tally], old: &Tally) -> bool {
    let new = trimmed(new, Tally::mean_log, |t| t.timed > KEPT_TIMED);
    if new.timed < MIN_TIMED || old.timed < MIN_TIMED {
        return false;
    }
    let difference = new.mean_log() - old.mean_log();
    let error = (1.0 / number(new.timed) + 1.0 / number(old.timed)).sqrt() * LATENCY_DEVIATION;
    difference > SLOW_DIFFERENCE && difference > SLOW_ERRORS * error
}
