//! Error budget burn: answers and failures of each service and organisation over several windows.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Length of the time that one bucket of counts covers.
const BUCKET: Duration = Duration::from_secs(60);

/// Windows of the report with their length in buckets: five minutes, one hour and six hours.
pub const WINDOWS: [(&str, u32); 3] = [("5m", 5), ("1h", 60), ("6h", 360)];

/// Most buckets that are kept: those of the longest window.
const MAX_BUCKETS: usize = 360;

/// Most pairs of service and organisation that are counted separately; further organisations of a
/// service are counted together as `(others)`.
const MAX_SERIES: usize = 20_000;

section! {
    /// The counts of one service and organisation, summed over each window.
    pub struct WindowCounts {
        /// The service.
        pub service: String,
        /// The organisation; empty for open routes.
        pub organisation: String,
        /// The numbers of answers and of failed answers in each of [`WINDOWS`].
        pub windows: Vec<(u64, u64)>,
    }
}

/// The counts of one service and organisation over time.
#[derive(Debug, Default)]
struct Series {
    /// Number of the bucket, answers and failed answers, oldest bucket first.
    buckets: VecDeque<(u64, u64, u64)>,
}

/// The counts of a node for the error budget report.
#[derive(Debug, Default)]
pub struct BurnCounters {
    started: Option<Instant>,
    series: HashMap<(String, String), Series>,
}

impl BurnCounters {
    /// Returns the number of the current bucket, counted from the first recorded answer.
    fn bucket(&mut self, now: Instant) -> u64 {
        let started = *self.started.get_or_insert(now);
        now.saturating_duration_since(started).as_secs() / BUCKET.as_secs()
    }

    /// Counts one answer.
    pub fn record(&mut self, service: &str, organisation: &str, failed: bool, now: Instant) {
        let bucket = self.bucket(now);
        let mut key = (service.to_owned(), organisation.to_owned());
        if self.series.len() >= MAX_SERIES && !self.series.contains_key(&key) {
            "(others)".clone_into(&mut key.1);
        }
        let series = self.series.entry(key).or_default();
        if series.buckets.back().is_none_or(|(b, ..)| *b != bucket) {
            series.buckets.push_back((bucket, 0, 0));
        }
        if series.buckets.len() > MAX_BUCKETS {
            series.buckets.pop_front();
        }
        if let Some((_, answers, failures)) = series.buckets.back_mut() {
            *answers += 1;
            *failures += u64::from(failed);
        }
    }

    /// Sums the counts of each window.
    #[must_use]
    pub fn counts(&self, now: Instant) -> Vec<WindowCounts> {
        let started = self.started.unwrap_or(now);
        let bucket = now.saturating_duration_since(started).as_secs() / BUCKET.as_secs();
        let mut out: Vec<WindowCounts> = self
            .series
            .iter()
            .map(|((service, organisation), series)| WindowCounts {
                service: service.clone(),
                organisation: organisation.clone(),
                windows: WINDOWS
                    .iter()
                    .map(|(_, n)| series.sum(bucket, *n))
                    .collect(),
            })
            .collect();
        out.sort_by(|a, b| (&a.service, &a.organisation).cmp(&(&b.service, &b.organisation)));
        out
    }
}

impl Series {
    fn sum(&self, bucket: u64, count: u32) -> (u64, u64) {
        let first = (bucket + 1).saturating_sub(u64::from(count));
        let recent = self.buckets.iter().filter(|(b, ..)| *b >= first);
        recent.fold((0, 0), |(a, f), (_, answers, failures)| {
            (a + answers, f + failures)
        })
    }
}

data! {
    /// The service level of one service and organisation.
    pub struct ServiceLevel {
        /// The service.
        pub service: String,
        /// The organisation; empty for open routes.
        pub organisation: String,
        /// Answers in the longest window.
        pub answers: u64,
        /// Share of answers in the longest window that did not fail.
        pub success: f64,
        /// The burn rate in each window: how many times faster than allowed the error budget is
        /// spent.
        pub burn_rates: Vec<f64>,
    }
}

/// Adds up the counts of several nodes and returns the service levels, lowest success first.
///
/// `objective` is the share of answers that should succeed.
#[must_use]
pub fn service_levels(counts: &[WindowCounts], objective: f64) -> Vec<ServiceLevel> {
    let mut sums: BTreeMap<(String, String), Vec<(u64, u64)>> = BTreeMap::new();
    for count in counts {
        let key = (count.service.clone(), count.organisation.clone());
        let sum = sums
            .entry(key)
            .or_insert_with(|| vec![(0, 0); WINDOWS.len()]);
        for (total, window) in sum.iter_mut().zip(&count.windows) {
            total.0 += window.0;
            total.1 += window.1;
        }
    }
    let mut out: Vec<ServiceLevel> = sums
        .into_iter()
        .map(|((service, organisation), windows)| {
            let longest = windows.last().copied().unwrap_or_default();
            ServiceLevel {
                service,
                organisation,
                answers: longest.0,
                success: 1.0 - failed_share(longest),
                burn_rates: windows.iter().map(|w| burn_rate(*w, objective)).collect(),
            }
        })
        .collect();
    out.sort_by(|a, b| a.success.total_cmp(&b.success));
    out
}

#[expect(clippy::cast_precision_loss)]
fn failed_share((answers, failures): (u64, u64)) -> f64 {
    failures as f64 / answers.max(1) as f64
}

fn burn_rate(window: (u64, u64), objective: f64) -> f64 {
    failed_share(window) / (1.0 - objective).max(f64::EPSILON)
}
