//! One target that this node guards: its lease, its limit, its queue and the evidence about it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::{
    fleet::codec::{TargetRecord, TargetState},
    policy::{
        eject::{Detector, OtherTargets},
        limit::{ExchangeResult, Limit},
        pace::Pace,
        queue::RankedQueue,
        suspicion::{ExchangeEnd, LatencyClass, Suspicion},
    },
    proxy::{gate::Permit, target::Pool},
};

/// How long a target that could not be connected to gets no requests.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1_000);

/// How often a target that is out, but kept in by the floor, is tried with one request. The
/// deployment counts a target as used that gets one in two seconds.
const TRIAL_EVERY: Duration = Duration::from_millis(500);

/// How late an announcement may arrive.
const LATE_ANNOUNCEMENTS: Duration = Duration::from_secs(60);

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// The target's own name.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: String,
    /// Requests it takes at once.
    pub slots: u32,
    /// How much longer it is in a cold start.
    pub cold: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was started, in milliseconds of its own clock; 0 when it does not say.
    pub born: u64,
    /// Rises with each announcement of one run; 0 when it does not say.
    pub sequence: u64,
    /// How long the announcement lasts on the guard's clock.
    pub lease: Duration,
}

impl Announcement {
    /// Tells whether this one was written before another one of the same target.
    fn is_older(&self, than: &Self) -> bool {
        (self.born, self.sequence) < (than.born, than.sequence)
    }
}

/// A request that waits for a slot.
pub(super) struct Waiter {
    pub(super) sender: oneshot::Sender<Permit>,
    /// Whether it should rather run where nothing speaks against the target.
    pub(super) careful: bool,
}

value! {
    /// The test by which an exchange tells whether its target fails.
    pub enum Test {
        /// How long it takes, beside others of its class.
        Quick(LatencyClass),
        /// How it ends, beside exchanges of the other targets. What it takes out returns after a probe.
        Slow,
        /// None: where deployments state objectives, a route without a useful one gives its requests
        /// less time than targets usually take.
        Nothing,
    }
}

/// An exchange under way.
struct Exchanging {
    begun: Instant,
    test: Test,
    /// Whether the slow test has counted it as bad already, because it takes so long.
    overdue: bool,
    /// Whether its request may have reached another target before.
    repeat: bool,
}

/// A target that this node guards.
pub struct Guarded {
    pub(super) said: Announcement,
    pub(super) lease: Instant,
    cold_until: Instant,
    limit: Limit,
    pace: Pace,
    cold_rate: f64,
    detector: Detector,
    outlook: Suspicion,
    /// Whether the quick test has the target out, as it was last looked at.
    was_out: bool,
    unreachable_until: Option<Instant>,
    next_trial: Instant,
    pub(super) running: usize,
    pub(super) connections: usize,
    exchanges: HashMap<u64, Exchanging>,
    pub(super) queue: RankedQueue<Waiter>,
    pub(super) pool: Arc<Pool>,
}

impl Guarded {
    pub(super) fn new(said: Announcement, now: Instant) -> Self {
        Self {
            lease: now + said.lease,
            cold_until: now + said.cold,
            // A target that was not seen before is trusted with little, whatever it says.
            limit: Limit::new(said.slots, true),
            pace: Pace::new(now),
            cold_rate: 0.0,
            detector: Detector::default(),
            outlook: Suspicion::default(),
            was_out: false,
            unreachable_until: None,
            next_trial: now,
            running: 0,
            connections: usize::MAX,
            exchanges: HashMap::new(),
            queue: RankedQueue::default(),
            pool: Arc::default(),
            said,
        }
    }

    /// Takes a later announcement up; one that was overtaken on the way is ignored.
    pub(super) fn renew(&mut self, said: Announcement, now: Instant) -> bool {
        if said.is_older(&self.said) {
            return false;
        }
        if said.born != self.said.born {
            *self = Self::new(said, now);
            return true;
        }
        if !said.cold.is_zero() && !self.cold(now) {
            self.limit.set_cold();
        }
        if said.slots != self.said.slots {
            self.limit.resize(said.slots);
        }
        self.lease = now + said.lease;
        self.cold_until = now + said.cold;
        // Leaving is final for one run of a target.
        let leaving = said.leaving || self.said.leaving;
        self.said = Announcement { leaving, ..said };
        true
    }

    /// Tells whether the target is remembered. One that leaves is for longer, since announcements
    /// from before that may still be on their way.
    pub(super) fn is_kept(&self, now: Instant) -> bool {
        let extra = match self.said.leaving {
            true => LATE_ANNOUNCEMENTS,
            false => Duration::ZERO,
        };
        now < self.lease + extra
    }

    /// Takes up what the service of the target states about all of its targets.
    pub(super) fn configure(&mut self, connections: usize, cold_rate: f64) {
        self.connections = connections.max(1);
        self.cold_rate = cold_rate;
    }

    fn cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Takes up that the target says it stays cold this much longer.
    pub(super) fn chill(&mut self, left: Duration, now: Instant) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// A target whose cold start is bounded by a rate is paced; any other one is given few requests
    /// at once. Each exchange has a connection of its own, so that bound holds besides.
    pub(super) fn has_room(&self) -> bool {
        let allowed = match self.cold_rate > 0.0 {
            true => self.said.slots as usize,
            false => self.limit.allowed(),
        };
        self.running < allowed.min(self.connections)
    }

    /// Tells whether the target's pace lets a request start now.
    pub(super) fn is_start_due(&mut self, now: Instant) -> bool {
        let cold = self.cold(now);
        self.pace.is_due(self.cold_rate, cold, now)
    }

    /// Takes up that a request is let in.
    pub(super) fn let_in(&mut self) {
        self.running += 1;
        self.pace.record_start();
    }

    /// Tells whether the target is taken out.
    pub(super) fn out(&mut self, now: Instant) -> bool {
        let unreachable = self.unreachable_until.is_some_and(|until| now < until);
        unreachable || self.detector.is_ejected() || self.outlook.is_excluded(now)
    }

    /// Tells whether a request may be tried here although the target is out, and counts that trial.
    pub(super) fn try_out(&mut self, now: Instant) -> bool {
        let due = now >= self.next_trial;
        if due {
            self.next_trial = now + TRIAL_EVERY;
        }
        due
    }

    /// Tells whether requests that need care should rather go elsewhere.
    pub(super) fn doubtful(&mut self, now: Instant) -> bool {
        self.outlook.is_suspected(now)
    }

    /// Tells whether a probe should decide about its return.
    pub(super) fn probe_due(&self, now: Instant) -> bool {
        self.detector.probe_due(now)
    }

    pub(super) fn probed(&mut self, good: bool, now: Instant) {
        if good {
            self.detector.restore(now);
            self.limit.set_cold();
        } else {
            self.detector.extend(now);
        }
    }

    pub(super) fn begin(&mut self, ticket: u64, test: Test, repeat: bool, now: Instant) {
        let exchange = Exchanging {
            begun: now,
            test,
            overdue: false,
            repeat,
        };
        self.exchanges.insert(ticket, exchange);
        if let Test::Quick(class) = test {
            self.outlook.begin(ticket, class, now);
        }
    }

    /// Returns how many exchanges run, and how many of those are of repeated requests.
    pub(super) fn repeated(&self) -> (usize, usize) {
        let repeated = self.exchanges.values().filter(|e| e.repeat).count();
        (self.exchanges.len(), repeated)
    }

    /// Takes up that a permit is given back; an exchange that was not recorded was abandoned.
    pub(super) fn end(&mut self, ticket: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        if let Some(Test::Quick(class)) = self.exchanges.remove(&ticket).map(|e| e.test) {
            self.outlook.end(ticket, class, ExchangeEnd::Abandoned, now);
        }
    }

    /// Takes up how the target took a request, and tells whether that takes it out.
    pub(super) fn record(
        &mut self,
        ticket: u64,
        taken: ExchangeResult,
        others: OtherTargets,
        now: Instant,
    ) -> bool {
        self.limit.record(taken, others.latency);
        if taken == ExchangeResult::Unreachable {
            self.unreachable_until = Some(now + UNREACHABLE_FOR);
        }
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return false;
        };
        match exchange.test {
            Test::Quick(class) => {
                self.outlook.end(ticket, class, ending(taken), now);
                return self.goes_out(now);
            }
            Test::Slow if !exchange.overdue => {}
            Test::Slow | Test::Nothing => return false,
        }
        let bad = match taken {
            ExchangeResult::Good(latency) => Detector::is_slow(latency, others),
            ExchangeResult::Shed => return false,
            ExchangeResult::Aborted
            | ExchangeResult::TimedOut
            | ExchangeResult::Unreachable
            | ExchangeResult::Error => true,
        };
        self.detector.record(bad, others, now)
    }

    /// Tells whether the quick test takes the target out now that it was in before.
    fn goes_out(&mut self, now: Instant) -> bool {
        let out = self.outlook.is_excluded(now);
        let was_out = std::mem::replace(&mut self.was_out, out);
        out && !was_out
    }

    /// Counts exchanges that take far too long as bad before they end, and tells whether that takes
    /// the target out.
    pub(super) fn count_overdue(&mut self, others: OtherTargets, now: Instant) -> bool {
        let mut out = self.goes_out(now);
        for exchange in self.exchanges.values_mut().filter(|e| e.test == Test::Slow) {
            let lasts = now.saturating_duration_since(exchange.begun);
            if !exchange.overdue && Detector::is_slow(lasts, others) {
                exchange.overdue = true;
                out |= self.detector.record(true, others, now);
            }
        }
        out
    }

    /// Returns the evidence of the quick test, for logs.
    pub(super) fn evidence(&mut self, now: Instant) -> f64 {
        self.outlook.evidence(now)
    }

    /// Takes out all that wait, so that they go elsewhere.
    pub(super) fn take_waiting(&mut self, now: Instant) -> Vec<Waiter> {
        let mut out = Vec::new();
        let mut late = Vec::new();
        while let Some(waiter) = self.queue.pop(now, |t| late.push(t)) {
            out.push(waiter);
        }
        out.append(&mut late);
        out
    }

    fn state(&mut self, now: Instant) -> TargetState {
        let cold = match self.cold_rate > 0.0 {
            true => self.cold(now),
            false => self.cold(now) || self.limit.is_cold(),
        };
        if self.said.leaving {
            TargetState::Leaving
        } else if self.out(now) {
            TargetState::Ejected
        } else if cold {
            TargetState::Cold
        } else {
            TargetState::Warm
        }
    }

    pub(super) fn record_of(&mut self, now: Instant) -> TargetRecord {
        let latency = self.limit.usual_latency().as_millis();
        TargetRecord {
            id: self.said.id.clone(),
            service: self.said.service.clone(),
            state: self.state(now).into(),
            slots: self.said.slots,
            latency_ms: coarse(u32::try_from(latency).unwrap_or(u32::MAX)),
        }
    }
}

fn ending(taken: ExchangeResult) -> ExchangeEnd {
    match taken {
        ExchangeResult::Good(_) => ExchangeEnd::Good,
        ExchangeResult::Error => ExchangeEnd::Error,
        ExchangeResult::Shed => ExchangeEnd::Shed,
        ExchangeResult::Aborted => ExchangeEnd::Aborted,
        ExchangeResult::TimedOut | ExchangeResult::Unreachable => ExchangeEnd::Abandoned,
    }
}

/// Rounds to powers of two, so that small changes make no news.
fn coarse(latency: u32) -> u32 {
    if latency == 0 {
        return 0;
    }
    latency.checked_next_power_of_two().unwrap_or(u32::MAX)
}
