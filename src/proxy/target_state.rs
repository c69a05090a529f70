//! The state of one target that this node sends requests to: its lease, concurrency limit, queue and
//! failure evidence.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::{
    fleet::codec::{ClassTally, TargetRecord, TargetReport, TargetState},
    policy::{
        crossing::Demand,
        eject::{Detector, OtherTargets},
        forecast::SlotTime,
        limit::{ExchangeResult, Limit, TargetLimits},
        pace::{Answer, Pace},
        queue::{Rank, RankedQueue},
        rollout::Tallies,
        stated_limit::{StatedLimit, StatedRate},
        suspicion::{ExchangeEnd, LatencyClass, Suspicion},
        verdict::Tally,
        warmth::WarmTimes,
    },
    proxy::{admission::Permit, exchange::ConnectionPool},
};

/// How long a target is treated as ejected after a connection to it could not be opened.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(1_000);

/// Minimum interval between trial requests to an ejected target that the floor keeps in use. The deployment
/// counts a target as used if it gets a request every two seconds.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a suspected target gets no request before one that may be repeated tries it. The deployment counts a target
/// as used if it gets a request every two seconds.
const IDLE_TRIAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Requests that may run at once at a target that has not responded to this node yet, and so may have a
/// limit that this node doesn't know.
const UNANSWERED_LIMIT: usize = 4;

/// Minimum interval between probes that ask a target whether it is warm. Probes cost the target work, and
/// deployments limit them.
const INQUIRY_INTERVAL: Duration = Duration::from_millis(500);

/// What a target announces about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// The target's id, which it chooses itself.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The version of its software; empty if not announced.
    pub version: String,
    /// The address that it listens on.
    pub address: String,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Remaining time of its cold start.
    pub cold_left: Duration,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// Its start time in milliseconds of its own clock; 0 if not announced.
    pub started_ms: u64,
    /// Sequence number that rises with each announcement of one run; 0 if not announced.
    pub sequence: u64,
    /// How long the announcement is valid, on the clock of the egress node.
    pub lease: Duration,
}

impl Announcement {
    /// Returns whether this announcement was made before another one of the same target.
    fn is_older(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}

/// A queued request that waits for a permit.
pub(super) struct Waiter {
    pub(super) sender: oneshot::Sender<Permit>,
    /// Whether the request stops waiting if the target becomes suspected of failing.
    pub(super) avoid_suspected: bool,
}

value! {
    /// The test that decides, by the result of an exchange, whether its target is failing.
    pub enum FailureTest {
        /// Weighs the duration and the result of the exchange against the usual duration of its class.
        Objective(LatencyClass),
        /// Compares the result of the exchange with those of the service's other targets. A target that
        /// this test ejects returns after a successful probe.
        Comparison,
        /// No test. Where deployments state objectives, a route without a useful objective gives its
        /// requests less time than targets usually take.
        Off,
    }
}

/// How a target takes part in the roll-out of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Participation {
    /// The revision of the order.
    pub revision: u64,
    /// Whether the target takes no new requests.
    pub closed: bool,
    /// Whether answers are counted.
    pub counts: bool,
}

/// A probe of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// The target's id.
    pub target: String,
    /// The target's service.
    pub service: String,
    /// The address to send the probe to.
    pub address: String,
    /// What the response decides.
    pub purpose: ProbePurpose,
}

value! {
    /// What the response to a probe decides.
    pub enum ProbePurpose {
        /// Whether an ejected target returns.
        Return,
        /// Whether a target is warm, so that more requests may start at it.
        Warmth,
    }
}

/// An exchange that has not ended.
struct RunningExchange {
    started: Instant,
    test: FailureTest,
    /// Whether the comparison test has already counted it as failed because it takes too long.
    overdue: bool,
    /// Whether the request is a repeat that may have reached another target before.
    repeat: bool,
}

/// A target that this node sends requests to.
pub struct ManagedTarget {
    pub(super) announcement: Announcement,
    pub(super) lease_until: Instant,
    cold_until: Instant,
    limit: Limit,
    pace: Pace,
    /// What is usual while the target is warm.
    warm_times: WarmTimes,
    limits: TargetLimits,
    slot_time: SlotTime,
    /// The limit that the target states in its responses, if any.
    stated: Option<StatedLimit>,
    /// Whether the target has responded to this node.
    answered: bool,
    detector: Detector,
    suspicion: Suspicion,
    /// Whether the objective test ejected the target when it was last evaluated.
    was_ejected: bool,
    unreachable_until: Option<Instant>,
    next_trial: Instant,
    last_start: Instant,
    next_inquiry: Instant,
    pub(super) running: usize,
    exchanges: HashMap<u64, RunningExchange>,
    pub(super) queue: RankedQueue<Waiter>,
    pub(super) pool: Arc<ConnectionPool>,
    participation: Option<Participation>,
    tallies: Tallies,
}

impl ManagedTarget {
    pub(super) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            lease_until: now + announcement.lease,
            cold_until: now + announcement.cold_left,
            // A new target starts with the cold limit, whatever it announces.
            limit: Limit::new(announcement.slots, true),
            pace: Pace::new(now),
            warm_times: WarmTimes::default(),
            limits: TargetLimits {
                connections: usize::MAX,
                ..TargetLimits::default()
            },
            slot_time: SlotTime::default(),
            stated: None,
            answered: false,
            detector: Detector::default(),
            suspicion: Suspicion::default(),
            was_ejected: false,
            unreachable_until: None,
            next_trial: now,
            last_start: now,
            next_inquiry: now,
            running: 0,
            exchanges: HashMap::new(),
            queue: RankedQueue::default(),
            pool: Arc::default(),
            participation: None,
            tallies: Tallies::default(),
            announcement,
        }
    }

    /// Applies how the target takes part in a roll-out.
    pub(super) fn set_participation(&mut self, participation: Option<Participation>) {
        let revision = |p: Option<Participation>| p.map(|p| p.revision);
        if revision(participation) != revision(self.participation) {
            self.tallies.clear();
        }
        self.participation = participation;
    }

    /// Returns whether a roll-out has closed the target.
    pub(super) fn is_closed(&self) -> bool {
        self.participation.is_some_and(|p| p.closed)
    }

    /// Counts the result of an exchange for the roll-out. Refusals and unreachable targets tell nothing about a version,
    /// and neither do the latencies of a cold target, nor routes without a useful objective: their requests fail since
    /// they have less time than targets take.
    fn count_result(&mut self, test: FailureTest, result: ExchangeResult, now: Instant) {
        let FailureTest::Objective(class) = test else {
            return;
        };
        if !self.participation.is_some_and(|p| p.counts) {
            return;
        }
        let (failed, latency) = match result {
            ExchangeResult::Good(latency) => (false, (!self.is_cold(now)).then_some(latency)),
            ExchangeResult::Error | ExchangeResult::Aborted | ExchangeResult::TimedOut => {
                (true, None)
            }
            ExchangeResult::Shed | ExchangeResult::Unreachable => return,
        };
        let tally = self.tallies.entry(class).or_default();
        tally.record(failed, latency);
    }

    /// Counts an exchange that was given up after more than the usual time.
    fn count_abandoned(&mut self, exchange: &RunningExchange, now: Instant) {
        let elapsed = now.saturating_duration_since(exchange.started);
        let FailureTest::Objective(class) = exchange.test else {
            return;
        };
        let counts = self.participation.is_some_and(|p| p.counts) && !self.is_cold(now);
        if counts && elapsed > self.suspicion.expected_latency(class) {
            let tally = self.tallies.entry(class).or_default();
            tally.record_latency(elapsed);
        }
    }

    /// Returns the report on the target while a roll-out needs it.
    pub(super) fn report(&self) -> Option<TargetReport> {
        let participation = self.participation.filter(|p| p.counts)?;
        let open = self.running + self.queue.len();
        Some(TargetReport {
            target: self.announcement.id.clone(),
            service: self.announcement.service.clone(),
            version: self.announcement.version.clone(),
            revision: participation.revision,
            closed: self.is_closed(),
            open: u32::try_from(open).unwrap_or(u32::MAX),
            tallies: self.tallies.iter().map(encode_tally).collect(),
        })
    }

    /// Applies an announcement, and returns whether it was applied; one older than the last is ignored.
    pub(super) fn apply_announcement(&mut self, announcement: Announcement, now: Instant) -> bool {
        if announcement.is_older(&self.announcement) {
            return false;
        }
        if announcement.started_ms != self.announcement.started_ms {
            *self = Self::new(announcement, now);
            return true;
        }
        if !announcement.cold_left.is_zero() && !self.is_cold(now) {
            self.limit.set_cold();
            self.take_proofs_back(announcement.cold_left, now);
        }
        if announcement.slots != self.announcement.slots {
            self.limit.resize(announcement.slots);
        }
        self.lease_until = now + announcement.lease;
        self.cold_until = now + announcement.cold_left;
        self.announcement = announcement;
        true
    }

    /// Applies the limits that the target's service is configured with.
    pub(super) fn configure(&mut self, limits: TargetLimits) {
        self.limits = TargetLimits {
            connections: limits.connections.max(1),
            ..limits
        };
    }

    /// Takes back the proofs from the time since which the target has been cold, if that lasts for this long from now.
    fn take_proofs_back(&mut self, cold_left: Duration, now: Instant) {
        let past = self.limits.cold_start.duration.saturating_sub(cold_left);
        let after = now.checked_sub(past).unwrap_or(now);
        self.warm_times.take_back(after);
        self.pace.take_back(after, now);
    }

    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether the target has capacity for one more request.
    pub(super) fn has_capacity(&self) -> bool {
        self.running < self.concurrency()
    }

    /// Returns whether a request may run that may use some slots beyond the limit.
    pub(super) fn has_extra_slot(&self, extra: usize) -> bool {
        let limit = (self.concurrency() + extra).min(self.limits.connections);
        extra > 0 && self.running < limit
    }

    /// Returns how many requests may run at once.
    ///
    /// Either its slots or the adaptive limit bound the requests that run at once. Each exchange uses a connection of
    /// its own, so the connection limit applies in both cases.
    fn concurrency(&self) -> usize {
        let limit = match self.limits.uses_slots() {
            true => self.announcement.slots as usize,
            false => self.limit.allowed(),
        };
        let limit = match self.answered {
            true => limit,
            false => limit.min(UNANSWERED_LIMIT),
        };
        limit.min(self.limits.connections)
    }

    /// Returns whether the target's pace and its stated limit allow a request to start now.
    pub(super) fn is_start_due(&mut self, now: Instant) -> bool {
        let cold = self.is_cold(now);
        let within_limit = self.stated.as_mut().is_none_or(|s| s.may_start(now));
        within_limit && self.pace.may_start(&self.limits.cold_start, cold, now)
    }

    /// Returns the time until the target's pace and its stated limit allow a request to start.
    pub(super) fn time_to_start(&mut self, now: Instant) -> Duration {
        let cold = self.is_cold(now);
        let pace = self
            .pace
            .time_to_start(&self.limits.cold_start, cold, 0, now);
        let stated = self.stated.as_mut().map(|s| s.time_to_start(0, now));
        pace.max(stated.unwrap_or_default())
    }

    /// Returns the forecast of how long a new request waits behind those that already wait: for a slot, for the
    /// pace of a cold target, and for the stated limit.
    pub(super) fn expected_wait(&mut self, rank: Rank, now: Instant) -> Duration {
        let ahead = self.queue.count_ahead(rank);
        let slot = self.slot_time.wait(ahead, self.running, self.concurrency());
        // A warm target proves so while requests are ahead, which ends the pace of those behind them.
        let cold = self.is_cold(now);
        let paced = if cold { ahead } else { 0 };
        let pace = self
            .pace
            .time_to_start(&self.limits.cold_start, cold, paced, now);
        let stated = self.stated.as_mut().map(|s| s.time_to_start(ahead, now));
        slot.max(pace).max(stated.unwrap_or_default())
    }

    /// Returns the usual time from the start of a request of this class to its response.
    pub(super) fn expected_latency(&self, class: LatencyClass) -> Duration {
        self.suspicion.expected_latency(class)
    }

    /// Returns the stated limit in requests a second, or infinity without one.
    pub(super) fn stated_rate(&self) -> f64 {
        self.stated
            .as_ref()
            .map_or(f64::INFINITY, StatedLimit::rate)
    }

    /// Applies the rate that a response states, whose request was sent at `sent`.
    pub(super) fn apply_stated_rate(&mut self, stated: StatedRate, sent: Instant, now: Instant) {
        self.answered = true;
        match (stated, &mut self.stated) {
            (StatedRate::Limited(rate), Some(limit)) => limit.restate(rate, now),
            (StatedRate::Limited(rate), None) => self.stated = Some(StatedLimit::new(rate, now)),
            (StatedRate::Unlimited, Some(limit)) if limit.is_ended_by(sent) => self.stated = None,
            (StatedRate::Unlimited | StatedRate::Malformed, _) => {}
        }
    }

    /// Returns the number of requests at once that use the target up: its slots, or fewer if its stated
    /// limit doesn't fill them.
    fn usable_slots(&self) -> u32 {
        let slots = self.announcement.slots;
        let Some(stated) = &self.stated else {
            return slots;
        };
        let concurrent = stated.rate() * self.limit.usual_latency().as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates"
        )]
        let concurrent = concurrent.ceil() as u32;
        concurrent.clamp(1, slots.max(1))
    }

    /// Returns the load that is reported to ingress nodes: the requests that run or wait, or all usable
    /// slots while the stated limit lets no request start.
    pub(super) fn reported_load(&mut self, now: Instant) -> usize {
        let load = self.running + self.queue.len();
        let exhausted = self.stated.as_mut().is_some_and(|s| !s.may_start(now));
        match exhausted {
            true => load.max(self.usable_slots() as usize),
            false => load,
        }
    }

    /// Returns what the target has to do and can do. A cold target runs as many requests as its limit allows; one that
    /// is ejected or leaves adds no capacity.
    pub(super) fn demand(&mut self, now: Instant) -> Demand {
        let slots = match self.state(now) {
            TargetState::Warm => self.usable_slots() as usize,
            TargetState::Cold => self.concurrency().min(self.usable_slots() as usize),
            TargetState::Ejected | TargetState::Leaving => return Demand::default(),
        };
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let (load, slots) = ((self.running + self.queue.len()) as f64, slots as f64);
        Demand {
            arrivals: 0.0,
            load,
            slots,
            slot_time: self.slot_time.average(),
        }
    }

    /// Records that a request was admitted.
    pub(super) fn start_request(&mut self, now: Instant) {
        self.running += 1;
        self.last_start = now;
        self.pace.record_start(now);
        if let Some(stated) = &mut self.stated {
            stated.record_start();
        }
    }

    /// Returns whether the target is ejected or was unreachable a moment ago.
    pub(super) fn is_ejected(&mut self, now: Instant) -> bool {
        let unreachable = self.unreachable_until.is_some_and(|until| now < until);
        unreachable || self.detector.is_ejected() || self.suspicion.is_excluded(now)
    }

    /// Returns whether a trial request may be sent although the target is ejected, and if so schedules
    /// the next trial.
    pub(super) fn take_trial(&mut self, now: Instant) -> bool {
        let due = now >= self.next_trial;
        if due {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        due
    }

    /// Returns whether a suspected target has not got any request for so long that one may try it. Without one, nothing
    /// would show that the target is sound again before the evidence against it has decayed.
    ///
    /// Load pattern: a service gets only requests that can't be repeated, and calls of targets, none of which may use a
    /// suspected target.
    pub(super) fn is_trial_due(&self, now: Instant) -> bool {
        self.limits.stated_slots && now >= self.last_start + IDLE_TRIAL_INTERVAL
    }

    /// Returns whether the target is suspected to be failing.
    pub(super) fn is_suspected(&mut self, now: Instant) -> bool {
        self.suspicion.is_suspected(now)
    }

    /// Returns the probe that is due, if any.
    pub(super) fn take_probe(&mut self, now: Instant) -> Option<Probe> {
        let purpose = if self.detector.is_probe_due(now) {
            ProbePurpose::Return
        } else if self.take_inquiry(now) {
            ProbePurpose::Warmth
        } else {
            return None;
        };
        Some(Probe {
            target: self.announcement.id.clone(),
            service: self.announcement.service.clone(),
            address: self.announcement.address.clone(),
            purpose,
        })
    }

    /// Returns whether the target should be asked now whether it is warm, and if so schedules the next
    /// time.
    fn take_inquiry(&mut self, now: Instant) -> bool {
        let due = now >= self.next_inquiry
            && !self.is_cold(now)
            && self.pace.wants_proof(&self.limits.cold_start, now);
        if due {
            self.next_inquiry = now + INQUIRY_INTERVAL;
        }
        due
    }

    /// Records how long the target stays cold, according to its response to a probe that was sent at `sent`.
    pub(super) fn record_cold_left(&mut self, cold_left: Duration, sent: Instant, now: Instant) {
        if cold_left.is_zero() {
            let limits = &self.limits.cold_start;
            self.pace.record_proof(limits, sent);
            self.warm_times.prove(sent, limits.duration);
        } else {
            if !self.is_cold(now) {
                self.take_proofs_back(cold_left, now);
            }
            self.cold_until = self.cold_until.max(now + cold_left);
        }
    }

    /// Records the result of a probe: a good result ends the ejection, after which the target starts with
    /// the cold limit; a bad one extends the ejection.
    pub(super) fn record_probe(&mut self, good: bool, now: Instant) {
        if good {
            self.detector.restore(now);
            self.limit.set_cold();
        } else {
            self.detector.extend(now);
        }
    }

    /// Records the start of an exchange.
    pub(super) fn begin_exchange(
        &mut self,
        ticket: u64,
        test: FailureTest,
        repeat: bool,
        now: Instant,
    ) {
        let exchange = RunningExchange {
            started: now,
            test,
            overdue: false,
            repeat,
        };
        self.exchanges.insert(ticket, exchange);
        if let FailureTest::Objective(class) = test {
            self.suspicion.begin(ticket, class, now);
        }
    }

    /// Returns the number of running exchanges, and of those whose requests are repeats.
    pub(super) fn exchange_counts(&self) -> (usize, usize) {
        let repeated = self.exchanges.values().filter(|e| e.repeat).count();
        (self.exchanges.len(), repeated)
    }

    /// Releases a permit; an exchange without a recorded result counts as abandoned.
    pub(super) fn release(&mut self, ticket: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return;
        };
        self.count_abandoned(&exchange, now);
        self.slot_time
            .record(now.saturating_duration_since(exchange.started));
        if let FailureTest::Objective(class) = exchange.test {
            self.suspicion
                .end(ticket, class, ExchangeEnd::Abandoned, now);
        }
    }

    /// Records the answer to an exchange, and returns whether it proves that the target is warm.
    pub(super) fn record_answer(&mut self, ticket: u64, answer: &Answer) -> bool {
        let Some(exchange) = self.exchanges.get(&ticket) else {
            return false;
        };
        let (class, initial) = match exchange.test {
            FailureTest::Objective(class) => (Some(class), self.suspicion.expected_latency(class)),
            FailureTest::Comparison | FailureTest::Off => (None, self.limit.usual_latency()),
        };
        let usual = self.warm_times.usual(class).unwrap_or(initial);
        let limits = &self.limits.cold_start;
        self.warm_times.record(class, answer.sent, answer.latency);
        let warm = answer.sent >= self.cold_until && self.pace.record_answer(limits, answer, usual);
        if warm {
            self.warm_times.prove(answer.sent, limits.duration);
        }
        warm
    }

    /// Records the result of an exchange, and returns whether it ejects the target.
    pub(super) fn record_result(
        &mut self,
        ticket: u64,
        result: ExchangeResult,
        others: OtherTargets,
        now: Instant,
    ) -> bool {
        self.limit.record(result, others.latency);
        if result == ExchangeResult::Unreachable {
            self.unreachable_until = Some(now + UNREACHABLE_DURATION);
        }
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return false;
        };
        self.count_result(exchange.test, result, now);
        self.slot_time
            .record(now.saturating_duration_since(exchange.started));
        match exchange.test {
            FailureTest::Objective(class) => {
                self.suspicion.end(ticket, class, exchange_end(result), now);
                return self.evaluate_ejection(now);
            }
            FailureTest::Comparison if !exchange.overdue => {}
            FailureTest::Comparison | FailureTest::Off => return false,
        }
        let failed = match result {
            ExchangeResult::Good(latency) => Detector::is_slow(latency, others),
            ExchangeResult::Shed => return false,
            ExchangeResult::Aborted
            | ExchangeResult::TimedOut
            | ExchangeResult::Unreachable
            | ExchangeResult::Error => true,
        };
        self.detector.record(failed, others, now)
    }

    /// Evaluates the objective test, and returns whether it ejects the target now but did not at the last
    /// evaluation.
    fn evaluate_ejection(&mut self, now: Instant) -> bool {
        let ejected = self.suspicion.is_excluded(now);
        let was_ejected = std::mem::replace(&mut self.was_ejected, ejected);
        ejected && !was_ejected
    }

    /// Counts exchanges under the comparison test that take far longer than usual as failed before they
    /// end, and evaluates the objective test. Returns whether either ejects the target.
    pub(super) fn count_overdue(&mut self, others: OtherTargets, now: Instant) -> bool {
        let mut ejected = self.evaluate_ejection(now);
        for exchange in self
            .exchanges
            .values_mut()
            .filter(|e| e.test == FailureTest::Comparison)
        {
            let elapsed = now.saturating_duration_since(exchange.started);
            if !exchange.overdue && Detector::is_slow(elapsed, others) {
                exchange.overdue = true;
                ejected |= self.detector.record(true, others, now);
            }
        }
        ejected
    }

    /// Returns the failure evidence of the objective test, for logs.
    pub(super) fn failure_evidence(&mut self, now: Instant) -> f64 {
        self.suspicion.evidence(now)
    }

    /// Removes all waiting requests from the queue, including expired ones, and returns them.
    pub(super) fn take_waiters(&mut self, now: Instant) -> Vec<Waiter> {
        let mut waiters = Vec::new();
        let mut expired = Vec::new();
        while let Some(waiter) = self.queue.pop(now, |t| expired.push(t)) {
            waiters.push(waiter);
        }
        waiters.append(&mut expired);
        waiters
    }

    fn state(&mut self, now: Instant) -> TargetState {
        let cold = match self.limits.uses_slots() {
            true => self.is_cold(now),
            false => self.is_cold(now) || self.limit.is_cold(),
        };
        if self.announcement.leaving {
            TargetState::Leaving
        } else if self.is_ejected(now) {
            TargetState::Ejected
        } else if cold {
            TargetState::Cold
        } else {
            TargetState::Warm
        }
    }

    /// Builds the record that this node gossips about the target.
    pub(super) fn build_record(&mut self, now: Instant) -> TargetRecord {
        let latency = self.limit.usual_latency().as_millis();
        TargetRecord {
            id: self.announcement.id.clone(),
            service: self.announcement.service.clone(),
            state: self.state(now).into(),
            slots: self.usable_slots(),
            latency_ms: round_latency(u32::try_from(latency).unwrap_or(u32::MAX)),
            version: self.announcement.version.clone(),
        }
    }
}

fn encode_tally((class, tally): (&LatencyClass, &Tally)) -> ClassTally {
    let count = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the sum is positive, and the conversion saturates"
    )]
    let log_latency = (tally.log_latency * 1e3) as u64;
    ClassTally {
        objective_ms: count(class.objective),
        idempotent: class.idempotent,
        answers: count(tally.answers),
        failures: count(tally.failures),
        timed: count(tally.timed),
        log_latency,
    }
}

/// Converts the result of an exchange to the form in which the objective test weighs it.
fn exchange_end(result: ExchangeResult) -> ExchangeEnd {
    match result {
        ExchangeResult::Good(_) => ExchangeEnd::Good,
        ExchangeResult::Error => ExchangeEnd::Error,
        ExchangeResult::Shed => ExchangeEnd::Shed,
        ExchangeResult::Aborted => ExchangeEnd::Aborted,
        ExchangeResult::TimedOut | ExchangeResult::Unreachable => ExchangeEnd::Abandoned,
    }
}

/// Rounds a latency up to a power of two milliseconds, so that small changes are not gossiped.
fn round_latency(latency_ms: u32) -> u32 {
    if latency_ms == 0 {
        return 0;
    }
    latency_ms.checked_next_power_of_two().unwrap_or(u32::MAX)
}
