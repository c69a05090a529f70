//! How long answers of a warm target usually take, by class of request.
//!
//! What is usual is learnt only from answers that are proved warm, whether they were fast or slow: those to requests
//! that were sent between two proofs of warmth less than a cold start apart. In between, the target can't have been
//! cold and warm again. So a target that turns cold doesn't teach that slow is usual, and one that becomes slower for
//! good does, as soon as its responses to probes prove it.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::policy::suspicion::LatencyClass;

/// Weight of one answer in the moving average of its class, once the average includes many.
const WEIGHT: f64 = 0.1;

/// Most answers that are kept until they are proved.
const MAX_UNPROVED: usize = 256;

/// An answer that is not proved yet.
#[derive(Debug)]
struct Unproved {
    sent: Instant,
    class: Option<LatencyClass>,
    latency: Duration,
}

/// The moving average of a class in seconds.
#[derive(Debug, Default)]
struct Average {
    seconds: f64,
    count: u32,
}

/// The usual times of the classes of one target while it is warm. The class `None` stands for all requests without an
/// objective.
#[derive(Debug, Default)]
pub struct WarmTimes {
    averages: HashMap<Option<LatencyClass>, Average>,
    unproved: VecDeque<Unproved>,
    /// The latest span in which the target was warm all the time.
    span: Option<(Instant, Instant)>,
}

impl WarmTimes {
    /// Returns the usual time of a class, or `None` if no answer of it is proved yet.
    #[must_use]
    pub fn usual(&self, class: Option<LatencyClass>) -> Option<Duration> {
        let average = self.averages.get(&class)?;
        Some(Duration::from_secs_f64(average.seconds))
    }

    /// Records an answer whose request was sent at `sent`.
    pub fn record(&mut self, class: Option<LatencyClass>, sent: Instant, latency: Duration) {
        if self.unproved.len() == MAX_UNPROVED {
            self.unproved.pop_front();
        }
        self.unproved.push_back(Unproved {
            sent,
            class,
            latency,
        });
        self.learn();
    }

    /// Records that the target was warm at an instant, where its cold starts last for at least `cold`.
    pub fn prove(&mut self, at: Instant, cold: Duration) {
        self.span = match self.span {
            Some((since, until)) if at <= until => Some((since, until)),
            Some((since, until)) if at < until + cold => Some((since, at)),
            _ => Some((at, at)),
        };
        self.learn();
    }

    /// Takes back that the target was warm after an instant.
    pub fn take_back(&mut self, after: Instant) {
        self.span = self
            .span
            .filter(|(since, _)| *since <= after)
            .map(|(since, until)| (since, until.min(after)));
        self.unproved.retain(|answer| answer.sent <= after);
    }

    /// Learns from the answers that are proved by now, and drops those that won't be any more.
    fn learn(&mut self) {
        let Some((since, until)) = self.span else {
            return;
        };
        let averages = &mut self.averages;
        self.unproved.retain(|answer| {
            if answer.sent > until {
                return true;
            }
            if answer.sent >= since {
                averages
                    .entry(answer.class)
                    .or_default()
                    .add(answer.latency);
            }
            false
        });
    }
}

impl Average {
    fn add(&mut self, latency: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (latency.as_secs_f64() - self.seconds);
    }
}
