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
        eject::{Detector, Others},
        limit::{Limit, Taken},
        outlook::{Class, Ending, Outlook},
        pace::Pace,
        queue::RankedQueue,
    },
    proxy::{admission::Permit, exchange::ConnectionPool},
};

/// How long a target that could not be connected to gets no requests.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(1_000);

/// How often a target that is out, but kept in by the floor, is tried with one request. The
/// deployment counts a target as used that gets one in two seconds.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// How late an announcement may arrive.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

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
    pub cold_left: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was started, in milliseconds of its own clock; 0 when it does not say.
    pub started_ms: u64,
    /// Rises with each announcement of one run; 0 when it does not say.
    pub sequence: u64,
    /// How long the announcement elapsed on the guard's clock.
    pub lease: Duration,
}

impl Announcement {
    /// Tells whether this one was written before another one of the same target.
    fn is_older(&self, than: &Self) -> bool {
        (self.started_ms, self.sequence) < (than.started_ms, than.sequence)
    }
}

/// A request that waits for a slot.
pub(super) struct Waiter {
    pub(super) sender: oneshot::Sender<Permit>,
    /// Whether it should rather run where nothing speaks against the target.
    pub(super) avoid_suspected: bool,
}

value! {
    /// The test by which an exchange tells whether its target fails.
    pub enum FailureTest {
        /// How long it takes, beside others of its class.
        Objective(Class),
        /// How it ends, beside exchanges of the other targets. What it takes out returns after a probe.
        Comparison,
        /// None: where deployments state objectives, a route without a useful one gives its requests
        /// less time than targets usually take.
        Off,
    }
}

/// An exchange under way.
struct RunningExchange {
    started: Instant,
    test: FailureTest,
    /// Whether the slow test has counted it as bad already, because it takes so long.
    overdue: bool,
    /// Whether its request may have reached another target before.
    repeat: bool,
}

/// A target that this node guards.
pub struct ManagedTarget {
    pub(super) announcement: Announcement,
    pub(super) lease_until: Instant,
    cold_until: Instant,
    limit: Limit,
    pace: Pace,
    cold_rate: f64,
    detector: Detector,
    suspicion: Outlook,
    /// Whether the quick test has the target out, as it was last looked at.
    was_ejected: bool,
    unreachable_until: Option<Instant>,
    next_trial: Instant,
    pub(super) running: usize,
    pub(super) connections: usize,
    exchanges: HashMap<u64, RunningExchange>,
    pub(super) queue: RankedQueue<Waiter>,
    pub(super) pool: Arc<ConnectionPool>,
}

impl ManagedTarget {
    pub(super) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            lease_until: now + announcement.lease,
            cold_until: now + announcement.cold_left,
            // A target that was not seen before is trusted with little, whatever it says.
            limit: Limit::new(announcement.slots, true),
            pace: Pace::new(now),
            cold_rate: 0.0,
            detector: Detector::default(),
            suspicion: Outlook::default(),
            was_ejected: false,
            unreachable_until: None,
            next_trial: now,
            running: 0,
            connections: usize::MAX,
            exchanges: HashMap::new(),
            queue: RankedQueue::default(),
            pool: Arc::default(),
            announcement,
        }
    }

    /// Takes a later announcement up; one that was overtaken on the way is ignored.
    pub(super) fn apply_announcement(&mut self, announcement: Announcement, now: Instant) -> bool {
        if announcement.is_older(&self.announcement) {
            return false;
        }
        if announcement.started_ms != self.announcement.started_ms {
            *self = Self::new(announcement, now);
            return true;
        }
        if !announcement.cold_left.is_zero() && !self.is_cold(now) {
            self.limit.chill();
        }
        if announcement.slots != self.announcement.slots {
            self.limit.resize(announcement.slots);
        }
        self.lease_until = now + announcement.lease;
        self.cold_until = now + announcement.cold_left;
        // Leaving is final for one run of a target.
        let leaving = announcement.leaving || self.announcement.leaving;
        self.announcement = Announcement {
            leaving,
            ..announcement
        };
        true
    }

    /// Tells whether the target is remembered. One that leaves is for longer, since announcements
    /// from before that may still be on their way.
    pub(super) fn is_retained(&self, now: Instant) -> bool {
        let extra = match self.announcement.leaving {
            true => LEAVING_RETENTION,
            false => Duration::ZERO,
        };
        now < self.lease_until + extra
    }

    /// Takes up what the service of the target states about all of its targets.
    pub(super) fn configure(&mut self, connections: usize, cold_rate: f64) {
        self.connections = connections.max(1);
        self.cold_rate = cold_rate;
    }

    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Takes up that the target says it stays cold this much longer.
    pub(super) fn extend_cold(&mut self, left: Duration, now: Instant) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// A target whose cold start is bounded by a rate is paced; any other one is given few requests
    /// at once. Each exchange has a connection of its own, so that bound holds besides.
    pub(super) fn has_room(&self) -> bool {
        let allowed = match self.cold_rate > 0.0 {
            true => self.announcement.slots as usize,
            false => self.limit.allowed(),
        };
        self.running < allowed.min(self.connections)
    }

    /// Tells whether the target's pace lets a request start now.
    pub(super) fn is_start_due(&mut self, now: Instant) -> bool {
        let cold = self.is_cold(now);
        self.pace.is_due(self.cold_rate, cold, now)
    }

    /// Takes up that a request is let in.
    pub(super) fn start_request(&mut self) {
        self.running += 1;
        self.pace.start();
    }

    /// Tells whether the target is taken out.
    pub(super) fn is_ejected(&mut self, now: Instant) -> bool {
        let unreachable = self.unreachable_until.is_some_and(|until| now < until);
        unreachable || self.detector.out() || self.suspicion.out(now)
    }

    /// Tells whether a request may be tried here although the target is out, and counts that trial.
    pub(super) fn take_trial(&mut self, now: Instant) -> bool {
        let due = now >= self.next_trial;
        if due {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        due
    }

    /// Tells whether requests that need care should rather go elsewhere.
    pub(super) fn is_suspected(&mut self, now: Instant) -> bool {
        self.suspicion.doubtful(now)
    }

    /// Tells whether a probe should decide about its return.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        self.detector.due(now)
    }

    pub(super) fn record_probe(&mut self, good: bool, now: Instant) {
        if good {
            self.detector.restore(now);
            self.limit.chill();
        } else {
            self.detector.extend(now);
        }
    }

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

    /// Returns how many exchanges run, and how many of those are of repeated requests.
    pub(super) fn exchange_counts(&self) -> (usize, usize) {
        let repeated = self.exchanges.values().filter(|e| e.repeat).count();
        (self.exchanges.len(), repeated)
    }

    /// Takes up that a permit is given back; an exchange that was not recorded was abandoned.
    pub(super) fn release(&mut self, ticket: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        if let Some(FailureTest::Objective(class)) = self.exchanges.remove(&ticket).map(|e| e.test)
        {
            self.suspicion.end(ticket, class, Ending::Abandoned, now);
        }
    }

    /// Takes up how the target took a request, and tells whether that takes it out.
    pub(super) fn record_result(
        &mut self,
        ticket: u64,
        taken: Taken,
        others: Others,
        now: Instant,
    ) -> bool {
        self.limit.record(taken, others.latency);
        if taken == Taken::Unreachable {
            self.unreachable_until = Some(now + UNREACHABLE_DURATION);
        }
        let Some(exchange) = self.exchanges.remove(&ticket) else {
            return false;
        };
        match exchange.test {
            FailureTest::Objective(class) => {
                self.suspicion.end(ticket, class, ending(taken), now);
                return self.is_newly_ejected(now);
            }
            FailureTest::Comparison if !exchange.overdue => {}
            FailureTest::Comparison | FailureTest::Off => return false,
        }
        let bad = match taken {
            Taken::Good(latency) => Detector::slow(latency, others),
            Taken::Shed => return false,
            Taken::Failed | Taken::Late | Taken::Unreachable | Taken::Erred => true,
        };
        self.detector.record(bad, others, now)
    }

    /// Tells whether the quick test takes the target out now that it was in before.
    fn is_newly_ejected(&mut self, now: Instant) -> bool {
        let out = self.suspicion.out(now);
        let was_ejected = std::mem::replace(&mut self.was_ejected, out);
        out && !was_ejected
    }

    /// Counts exchanges that take far too long as bad before they end, and tells whether that takes
    /// the target out.
    pub(super) fn count_overdue(&mut self, others: Others, now: Instant) -> bool {
        let mut out = self.is_newly_ejected(now);
        for exchange in self
            .exchanges
            .values_mut()
            .filter(|e| e.test == FailureTest::Comparison)
        {
            let elapsed = now.saturating_duration_since(exchange.started);
            if !exchange.overdue && Detector::slow(elapsed, others) {
                exchange.overdue = true;
                out |= self.detector.record(true, others, now);
            }
        }
        out
    }

    /// Returns the evidence of the quick test, for logs.
    pub(super) fn failure_evidence(&mut self, now: Instant) -> f64 {
        self.suspicion.evidence(now)
    }

    /// Takes out all that wait, so that they go elsewhere.
    pub(super) fn take_waiters(&mut self, now: Instant) -> Vec<Waiter> {
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
            true => self.is_cold(now),
            false => self.is_cold(now) || self.limit.cold(),
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

    pub(super) fn to_record(&mut self, now: Instant) -> TargetRecord {
        let latency = self.limit.usual().as_millis();
        TargetRecord {
            id: self.announcement.id.clone(),
            service: self.announcement.service.clone(),
            state: self.state(now).into(),
            slots: self.announcement.slots,
            latency_ms: round_latency(u32::try_from(latency).unwrap_or(u32::MAX)),
        }
    }
}

fn ending(taken: Taken) -> Ending {
    match taken {
        Taken::Good(_) => Ending::Good,
        Taken::Erred => Ending::Erred,
        Taken::Shed => Ending::Shed,
        Taken::Failed => Ending::Broke,
        Taken::Late | Taken::Unreachable => Ending::Abandoned,
    }
}

/// Rounds to powers of two, so that small changes make no news.
fn round_latency(latency: u32) -> u32 {
    if latency == 0 {
        return 0;
    }
    latency.checked_next_power_of_two().unwrap_or(u32::MAX)
}
