//! The rate at which requests start at a target that may be cold, for services that configure the rate that
//! a cold target can handle.
//!
//! A target may have restarted a moment ago without this node knowing. Starts since the target was last
//! proven warm are therefore bounded as if it were cold, and proofs free the target from that bound: while
//! they keep arriving, only its slots limit it. Answers prove it, or the target says so when asked. See
//! [docs/DESIGN.md](../../docs/DESIGN.md#cold-targets).

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::policy::tokens::Tokens;

/// Most requests that may start at once at a target that is known to be cold.
const COLD_BURST: f64 = 4.0;

/// Requests by which the burst stays below what a cold target can take: a start close to the edge of a second may
/// arrive in the next one.
const BURST_MARGIN: f64 = 1.0;

/// Longest cold start that a target may state.
const MAX_COLD: Duration = Duration::from_secs(3_600);

/// Most starts that are remembered. A proof that is older than the oldest one is ignored.
const MAX_STARTS: usize = 512;

/// Answers that take longer than this multiple of the usual latency don't prove that a target is warm.
const WARM_RATIO: f64 = 1.5;

/// Most spans of runs that are remembered.
const MAX_SPANS: usize = 8;

/// Requests that may start at once, below which a target is asked whether it is warm.
const INQUIRY_TOKENS: f64 = 3.0;

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

    /// An answer over a connection that had carried another exchange, as far as it shows whether the target is
    /// warm. The run of the target that answered lasted from when the connection was opened.
    #[derive(Copy)]
    pub struct Answer {
        /// When the connection was opened.
        pub opened: Instant,
        /// When its request was sent.
        pub sent: Instant,
        /// The time from then until the response head.
        pub latency: Duration,
    }
}

impl ColdStart {
    /// Returns the requests that may start at once at a target that isn't known to be cold.
    fn unproven_burst(&self) -> f64 {
        (self.burst - BURST_MARGIN).max(1.0)
    }

    /// Returns the requests that may start at once at a target that is known to be cold.
    fn cold_burst(&self) -> f64 {
        COLD_BURST.min(self.unproven_burst())
    }
}

/// Returns the rest of a cold start that a target states, in seconds; `None` if it can't be true.
#[must_use]
pub fn parse_cold_left(seconds: f64) -> Option<Duration> {
    let cold_left = Duration::try_from_secs_f64(seconds).ok()?;
    (cold_left <= MAX_COLD).then_some(cold_left)
}

/// A span of time that lies within one run of a target.
#[derive(Debug, Clone, Copy)]
struct Span {
    since: Instant,
    until: Instant,
}

impl Span {
    /// Extends this span by another one if they have a moment in common, so that both belong to the same run, and
    /// returns whether they do.
    fn join(&mut self, other: Self) -> bool {
        let common = other.since <= self.until && self.since <= other.until;
        if common {
            self.since = self.since.min(other.since);
            self.until = self.until.max(other.until);
        }
        common
    }
}

/// What is known of the runs of a target: spans without a common moment.
#[derive(Debug, Clone, Default)]
struct Runs {
    spans: VecDeque<Span>,
}

impl Runs {
    /// Adds a span, and returns all that is known of its run.
    fn add(&mut self, span: Span) -> Span {
        let mut run = span;
        self.spans.retain(|other| !run.join(*other));
        if self.spans.len() == MAX_SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(run);
        run
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
    runs: Runs,
}

impl Pace {
    /// Creates the pace of a target that has not been seen before and may be cold.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: Tokens::new(COLD_BURST, now),
            starts: VecDeque::new(),
            proven: now,
            runs: Runs::default(),
        }
    }

    fn refill(&mut self, limits: &ColdStart, cold: bool, now: Instant) {
        let burst = match cold {
            true => limits.cold_burst(),
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

    /// Returns the time until a request may start that `ahead` others precede.
    pub fn time_to_start(
        &mut self,
        limits: &ColdStart,
        cold: bool,
        ahead: usize,
        now: Instant,
    ) -> Duration {
        if limits.rate <= 0.0 {
            return Duration::ZERO;
        }
        self.refill(limits, cold, now);
        self.tokens.time_to_start(ahead, limits.rate)
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

    /// Records an answer, and returns whether it proves that the target was warm when the request was sent:
    /// the target had been running for longer than a cold start lasts, and answered about as fast as `usual`.
    pub fn record_answer(&mut self, limits: &ColdStart, answer: &Answer, usual: Duration) -> bool {
        let run = self.runs.add(Span {
            since: answer.opened,
            until: answer.sent,
        });
        let warm = answer.sent >= run.since + limits.duration
            && answer.latency <= usual.mul_f64(WARM_RATIO);
        if warm {
            self.record_proof(limits, answer.sent);
        }
        warm
    }

    /// Takes back proofs that the target was warm after an instant. The starts that they covered may have reached a cold
    /// target, so that none are left for now.
    pub fn take_back(&mut self, after: Instant, now: Instant) {
        if self.proven > after {
            self.tokens.restart(now);
        }
    }

    /// Returns whether the target should be asked whether it is warm, since few requests may start otherwise.
    pub fn wants_proof(&mut self, limits: &ColdStart, now: Instant) -> bool {
        if limits.rate <= 0.0 {
            return false;
        }
        self.refill(limits, false, now);
        !self
            .tokens
            .has(INQUIRY_TOKENS.min(limits.unproven_burst() / 2.0))
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
