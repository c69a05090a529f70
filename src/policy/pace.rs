//! The rate at which requests start at a target that may be cold, for services that configure the rate that
//! a cold target can handle.
//!
//! A target may have restarted a moment ago without this node knowing. Starts since the target was last
//! proven warm are therefore bounded as if it were cold, and proofs free the target from that bound: while
//! answers keep arriving, only its slots limit it. See
//! [docs/DESIGN.md](../../docs/DESIGN.md#cold-targets).

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::policy::tokens::Tokens;

/// Requests that may start at once at a target that is known to be cold.
const COLD_BURST: f64 = 4.0;

/// Requests by which the burst stays below what a cold target can take: a start close to the edge of a second may
/// arrive in the next one.
const BURST_MARGIN: f64 = 1.0;

/// Most starts that are remembered. A proof that is older than the oldest one is ignored.
const MAX_STARTS: usize = 512;

/// Answers that take longer than this multiple of the usual latency don't prove that a target is warm.
const WARM_RATIO: f64 = 1.5;

data! {
    /// What the targets of a service can take during a cold start.
    #[derive(Copy, Default)]
    pub struct ColdStart {
        /// Requests a second; 0 if it isn't known, which turns pacing off.
        pub rate: f64,
        /// Requests beyond `rate` that may arrive within any one second.
        pub burst: f64,
        /// How long a target is cold after its start.
        pub duration: Duration,
    }

    /// An answer of a target, as far as it shows whether the target is warm.
    #[derive(Copy)]
    pub struct Answer {
        /// When its connection was opened.
        pub opened: Instant,
        /// When its request was sent.
        pub sent: Instant,
        /// The time from then until the response head.
        pub latency: Duration,
    }
}

impl ColdStart {
    /// Returns whether an answer proves that its target was warm when the request was sent: the target ran
    /// when the connection was opened, which was longer ago than a cold start lasts, and was as fast as
    /// usual.
    #[must_use]
    pub fn is_warm(&self, answer: &Answer, usual: Duration) -> bool {
        answer.sent >= answer.opened + self.duration && answer.latency <= usual.mul_f64(WARM_RATIO)
    }

    /// Returns the requests that may start at once at a target that isn't known to be cold.
    fn unproven_burst(&self) -> f64 {
        (self.burst - BURST_MARGIN).max(COLD_BURST)
    }
}

/// A token bucket of the requests that may start at one target, which is full again at each proof that the
/// target is warm.
#[derive(Debug, Clone)]
pub struct Pace {
    tokens: Tokens,
    /// The starts that no proof covers, the earliest first.
    starts: VecDeque<Instant>,
    /// Time before which proofs are ignored.
    proven: Instant,
}

impl Pace {
    /// Creates the pace of a target that has not been seen before and may be cold.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: Tokens::new(COLD_BURST, now),
            starts: VecDeque::new(),
            proven: now,
        }
    }

    fn refill(&mut self, limits: &ColdStart, cold: bool, now: Instant) {
        let burst = match cold {
            true => COLD_BURST,
            false => limits.unproven_burst(),
        };
        self.tokens.refill(limits.rate, burst, now);
    }

    /// Returns whether a request may start now. `cold` says whether the target is known to be cold.
    pub fn may_start(&mut self, limits: &ColdStart, cold: bool, now: Instant) -> bool {
        if limits.rate <= 0.0 {
            return true;
        }
        self.refill(limits, cold, now);
        self.tokens.is_available()
    }

    /// Returns the time until a request may start.
    pub fn time_to_start(&mut self, limits: &ColdStart, cold: bool, now: Instant) -> Duration {
        if limits.rate <= 0.0 {
            return Duration::ZERO;
        }
        self.refill(limits, cold, now);
        self.tokens.time_until(1.0, limits.rate)
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        self.tokens.spend();
        if self.starts.len() == MAX_STARTS
            && let Some(first) = self.starts.pop_front()
        {
            self.proven = self.proven.max(first);
        }
        self.starts.push_back(now);
    }

    /// Records that the target was warm at `sent`: only the starts since then may have reached a cold one.
    pub fn record_proof(&mut self, limits: &ColdStart, sent: Instant) {
        if limits.rate <= 0.0 || sent <= self.proven {
            return;
        }
        self.proven = sent;
        while self.starts.front().is_some_and(|start| *start <= sent) {
            self.starts.pop_front();
        }
        let burst = limits.unproven_burst();
        self.tokens = Tokens::new(burst, sent);
        for start in &self.starts {
            self.tokens.refill(limits.rate, burst, *start);
            self.tokens.spend();
        }
    }
}
