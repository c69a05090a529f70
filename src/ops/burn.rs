//! BurnCounters of service levels: counts per service and organisation over several windows.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Length of one count.
const SLOT: Duration = Duration::from_secs(60);

/// Windows of the report, in counts: five minutes, one hour, six hours.
pub const WINDOWS: [(&str, u32); 3] = [("5m", 5), ("1h", 60), ("6h", 360)];

const MOST_SLOTS: usize = 360;

/// Pairs of service and organisation that are counted; further ones share a line.
const MOST_LINES: usize = 20_000;

section! {
    /// WindowCounts of one service and organisation.
    pub struct WindowCounts {
        /// The service.
        pub service: String,
        /// The organisation; empty for open routes.
        pub organisation: String,
        /// Answers and bad answers in each of [`WINDOWS`].
        pub windows: Vec<(u64, u64)>,
    }
}

#[derive(Debug, Default)]
struct Line {
    slots: VecDeque<(u64, u64, u64)>,
}

/// All counts of a node.
#[derive(Debug, Default)]
pub struct BurnCounters {
    begun: Option<Instant>,
    lines: HashMap<(String, String), Line>,
}

impl BurnCounters {
    fn slot(&mut self, now: Instant) -> u64 {
        let begun = *self.begun.get_or_insert(now);
        now.saturating_duration_since(begun).as_secs() / SLOT.as_secs()
    }

    /// WindowCounts one answer.
    pub fn record(&mut self, service: &str, organisation: &str, bad: bool, now: Instant) {
        let slot = self.slot(now);
        let mut key = (service.to_owned(), organisation.to_owned());
        if self.lines.len() >= MOST_LINES && !self.lines.contains_key(&key) {
            "(others)".clone_into(&mut key.1);
        }
        let line = self.lines.entry(key).or_default();
        if line.slots.back().is_none_or(|(s, ..)| *s != slot) {
            line.slots.push_back((slot, 0, 0));
        }
        if line.slots.len() > MOST_SLOTS {
            line.slots.pop_front();
        }
        if let Some((_, all, failed)) = line.slots.back_mut() {
            *all += 1;
            *failed += u64::from(bad);
        }
    }

    /// Sums the counts of each window.
    #[must_use]
    pub fn counts(&self, now: Instant) -> Vec<WindowCounts> {
        let begun = self.begun.unwrap_or(now);
        let slot = now.saturating_duration_since(begun).as_secs() / SLOT.as_secs();
        let mut out: Vec<WindowCounts> = self
            .lines
            .iter()
            .map(|((service, organisation), line)| WindowCounts {
                service: service.clone(),
                organisation: organisation.clone(),
                windows: WINDOWS.iter().map(|(_, n)| line.sum(slot, *n)).collect(),
            })
            .collect();
        out.sort_by(|a, b| (&a.service, &a.organisation).cmp(&(&b.service, &b.organisation)));
        out
    }
}

impl Line {
    fn sum(&self, slot: u64, count: u32) -> (u64, u64) {
        let first = (slot + 1).saturating_sub(u64::from(count));
        let recent = self.slots.iter().filter(|(s, ..)| *s >= first);
        recent.fold((0, 0), |(a, b), (_, all, bad)| (a + all, b + bad))
    }
}

data! {
    /// The burn of one service and organisation.
    pub struct ServiceLevel {
        /// The service.
        pub service: String,
        /// The organisation; empty for open routes.
        pub organisation: String,
        /// Answers in the longest window.
        pub answers: u64,
        /// Share of good answers in the longest window.
        pub success: f64,
        /// How many times faster than allowed the error budget goes, for each window.
        pub burn_rates: Vec<f64>,
    }
}

/// Adds up the counts of several nodes and works out the burn, worst first.
#[must_use]
pub fn service_levels(counts: &[WindowCounts], objective: f64) -> Vec<ServiceLevel> {
    let mut sums: BTreeMap<(String, String), Vec<(u64, u64)>> = BTreeMap::new();
    for count in counts {
        let key = (count.service.clone(), count.organisation.clone());
        let sum = sums
            .entry(key)
            .or_insert_with(|| vec![(0, 0); WINDOWS.len()]);
        for (total, part) in sum.iter_mut().zip(&count.windows) {
            total.0 += part.0;
            total.1 += part.1;
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
                success: 1.0 - share(longest),
                burn_rates: windows.iter().map(|w| burn(*w, objective)).collect(),
            }
        })
        .collect();
    out.sort_by(|a, b| a.success.total_cmp(&b.success));
    out
}

#[expect(clippy::cast_precision_loss)]
fn share((all, bad): (u64, u64)) -> f64 {
    bad as f64 / all.max(1) as f64
}

fn burn(window: (u64, u64), objective: f64) -> f64 {
    share(window) / (1.0 - objective).max(f64::EPSILON)
}
