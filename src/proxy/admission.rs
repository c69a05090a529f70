//! Admission control: every request to a target of this VM obtains a [`Permit`] here first.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, time::timeout};

use crate::{
    clock::{SharedClock, unix_millis},
    fleet::codec::{Departure, TargetRecord, TargetReport},
    policy::{
        crossing::Demand,
        departures::Departures,
        eject::OtherTargets,
        limit::{ExchangeResult, TargetLimits},
        pace::Answer,
        queue::{Rank, StartLimits},
        stated_limit::StatedRate,
        suspicion::LatencyClass,
    },
    proxy::{
        Code,
        exchange::ConnectionPool,
        target_state::{Announcement, FailureTest, ManagedTarget, Participation, Probe, Waiter},
    },
};

/// Lease of a target that announces itself through the fleet's own interface, on the clock of this
/// node.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(2);

/// Shortest interval at which a waiting request checks whether the pace of its target allows the next start.
const PACE_INTERVAL: Duration = Duration::from_millis(20);

/// Greatest number of departures that the record of a node carries; a datagram has room for few.
const MAX_RECORDED_DEPARTURES: usize = 8;

/// Targets by id.
type Targets = HashMap<String, ManagedTarget>;

/// Admission control for all targets that this node sends requests to.
pub struct Admission {
    clock: SharedClock,
    next_ticket: AtomicU64,
    closed: AtomicBool,
    targets: Mutex<Targets>,
    /// Targets that have left; locked only while `targets` is.
    departures: Mutex<Departures>,
}

/// The right to run one request at a target; dropping it admits the next waiting one.
pub struct Permit {
    admission: Arc<Admission>,
    target: String,
    ticket: u64,
    /// The target's address.
    pub address: String,
    /// The idle connections to the target.
    pub pool: Arc<ConnectionPool>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.release(&self.target, self.ticket);
    }
}

impl Admission {
    /// Creates admission control without any targets.
    #[must_use]
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            next_ticket: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            targets: Mutex::default(),
            departures: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn departures(&self) -> MutexGuard<'_, Departures> {
        self.departures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an announcement, which also renews the target's lease, and returns whether it was applied.
    /// It is ignored if it is older than the last one of its target, if its run of the target has left, or if a
    /// target that was started later has announced the same address.
    pub fn apply_announcement(&self, announcement: Announcement, now: Instant) -> bool {
        let mut targets = self.lock();
        let mut waiters = Vec::new();
        let Announcement { id, started_ms, .. } = &announcement;
        if !announcement.leaving && self.departures().includes(id, *started_ms, now) {
            return false;
        }
        // Two targets can't share an address; it belongs to the one that was started last.
        let same_address = |t: &ManagedTarget| {
            t.announcement.address == announcement.address && t.announcement.id != announcement.id
        };
        if targets
            .values()
            .any(|t| same_address(t) && t.announcement.started_ms > announcement.started_ms)
        {
            return false;
        }
        for target in targets.values_mut().filter(|t| same_address(t)) {
            target.lease_until = now;
            waiters.extend(target.take_waiters(now));
        }
        let departs = announcement.leaving.then(|| announcement.clone());
        let applied = match targets.get_mut(&announcement.id) {
            Some(target) if target.announcement.address == announcement.address => {
                let applied = target.apply_announcement(announcement, now);
                if target.announcement.leaving {
                    waiters.extend(target.take_waiters(now));
                }
                applied
            }
            _ => {
                targets.insert(
                    announcement.id.clone(),
                    ManagedTarget::new(announcement, now),
                );
                true
            }
        };
        if let Some(departs) = departs.filter(|_| applied) {
            self.departures()
                .record(&departs.id, departs.started_ms, now);
        }
        cancel_waiters(targets, waiters);
        applied
    }

    /// Returns whether a target has announced itself and its state is retained.
    #[must_use]
    pub fn is_known(&self, target: &str) -> bool {
        self.lock().contains_key(target)
    }

    /// Records that a target leaves; requests that wait for it are cancelled, so that they look for
    /// another target. Returns whether it was known and not leaving before.
    ///
    /// The start of a target that is not known is not known either. All its runs up to now have left, since its
    /// next one starts later.
    pub fn withdraw(&self, target: &str, now: Instant) -> bool {
        let known = self.lock().get(target).map(|t| t.announcement.started_ms);
        let last_start = known.unwrap_or_else(|| unix_millis(self.clock.wall()));
        self.record_departure(target, last_start, now)
    }

    /// Records that all runs of a target that started up to `last_start`, in milliseconds of its clock, have left.
    /// Returns whether the target is of such a run and was not leaving before.
    pub fn record_departure(&self, target: &str, last_start: u64, now: Instant) -> bool {
        let mut targets = self.lock();
        self.departures().record(target, last_start, now);
        let Some(target) = targets.get_mut(target) else {
            return false;
        };
        if target.announcement.started_ms > last_start {
            return false;
        }
        let was_leaving = std::mem::replace(&mut target.announcement.leaving, true);
        let waiters = target.take_waiters(now);
        cancel_waiters(targets, waiters);
        !was_leaving
    }

    /// Returns whether a run of a target that started at `started` has left.
    #[must_use]
    pub fn has_departed(&self, target: &str, started: u64, now: Instant) -> bool {
        let _targets = self.lock();
        self.departures().includes(target, started, now)
    }

    /// Returns the departures of runs whose start is known, the newest first.
    #[must_use]
    pub fn departed_runs(&self, now: Instant) -> Vec<Departure> {
        let _targets = self.lock();
        let departures = self.departures();
        departures
            .newest(now)
            .into_iter()
            .filter(|(_, last_start)| *last_start > 0)
            .map(|(target, last_start_ms)| Departure {
                target: target.to_owned(),
                last_start_ms,
            })
            .collect()
    }

    /// Returns the newest departures of runs whose start is known, for the record of this node.
    #[must_use]
    pub fn departure_records(&self, now: Instant) -> Vec<Departure> {
        let mut records = self.departed_runs(now);
        records.truncate(MAX_RECORDED_DEPARTURES);
        records.sort_by(|a, b| a.target.cmp(&b.target));
        records
    }

    /// Stops admission when the node shuts down: waiting requests are cancelled, so that they look
    /// for another target, and no further ones are admitted.
    pub fn close(&self, now: Instant) {
        self.closed.store(true, Relaxed);
        let mut targets = self.lock();
        let waiters: Vec<Waiter> = targets
            .values_mut()
            .flat_map(|target| target.take_waiters(now))
            .collect();
        cancel_waiters(targets, waiters);
    }

    /// Removes targets whose lease has expired and that run no requests.
    ///
    /// Returns the probes that are due.
    pub fn sweep(&self, now: Instant) -> Vec<Probe> {
        let mut targets = self.lock();
        targets.retain(|_, t| now < t.lease_until || t.running > 0);
        targets
            .values_mut()
            .filter_map(|t| t.take_probe(now))
            .collect()
    }

    /// Records that a target stated, in response to a probe that was sent at `sent`, how long it stays cold.
    pub fn record_cold_left(
        self: &Arc<Self>,
        target: &str,
        cold_left: Duration,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(target) = self.lock().get_mut(target) {
            target.record_cold_left(cold_left, sent, now);
        }
        self.admit_waiting(target);
    }

    /// Records the result of a probe of an ejected target; a good result ends the ejection, a bad one
    /// extends it.
    pub fn record_probe(&self, target: &str, good: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(target) {
            target.record_probe(good, now);
        }
    }

    /// Returns the records of all targets with a valid lease, sorted by id.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<TargetRecord> {
        let mut targets = self.lock();
        let mut records: Vec<TargetRecord> = targets
            .values_mut()
            .filter(|t| now < t.lease_until)
            .map(|t| t.build_record(now))
            .collect();
        records.sort_by(|a, b| a.id.cmp(&b.id));
        records
    }

    /// Returns the service of each target with a valid lease, and what the target has to do and can do.
    #[must_use]
    pub fn demands(&self, now: Instant) -> Vec<(String, Demand)> {
        let mut targets = self.lock();
        let leased = targets.values_mut().filter(|t| now < t.lease_until);
        let demand = |t: &mut ManagedTarget| (t.announcement.service.clone(), t.demand(now));
        leased.map(demand).collect()
    }

    /// Applies the limits that services are configured with, which `service_limits` returns by service name. Until
    /// they are known, a target that has not received any requests would be treated as cold, and so would hardly
    /// receive any.
    pub fn configure(&self, service_limits: impl Fn(&str) -> Option<TargetLimits>) {
        for target in self.lock().values_mut() {
            if let Some(limits) = service_limits(&target.announcement.service) {
                target.configure(limits);
            }
        }
    }

    /// Applies how targets take part in roll-outs, which `participation` returns by service and version. Requests
    /// that wait for a target that closes look for another one.
    ///
    /// Returns whether any target has closed or opened.
    pub fn participate(
        &self,
        participation: impl Fn(&str, &str) -> Option<Participation>,
        now: Instant,
    ) -> bool {
        let mut targets = self.lock();
        let (mut waiters, mut changed) = (Vec::new(), false);
        for target in targets.values_mut() {
            let was_closed = target.is_closed();
            let Announcement {
                service, version, ..
            } = &target.announcement;
            let participation = participation(service, version);
            target.set_participation(participation);
            changed |= target.is_closed() != was_closed;
            if target.is_closed() && !was_closed {
                waiters.extend(target.take_waiters(now));
            }
        }
        cancel_waiters(targets, waiters);
        changed
    }

    /// Returns the reports on the targets whose service is rolled out.
    #[must_use]
    pub fn reports(&self) -> Vec<TargetReport> {
        self.lock()
            .values()
            .filter_map(ManagedTarget::report)
            .collect()
    }

    /// Returns the number of requests that run or wait at all targets.
    #[must_use]
    pub fn total_load(&self) -> usize {
        self.lock()
            .values()
            .map(|t| t.running + t.queue.len())
            .sum()
    }

    /// Returns the evidence that a target is failing, for logs.
    #[must_use]
    pub fn failure_evidence(&self, target: &str, now: Instant) -> f64 {
        let mut targets = self.lock();
        targets
            .get_mut(target)
            .map_or(0.0, |t| t.failure_evidence(now))
    }

    /// Returns the share of the requests running at all targets that are repeats, which may have
    /// reached another target before.
    #[must_use]
    pub fn repeated_share(&self) -> f64 {
        let targets = self.lock();
        let counts = targets.values().map(ManagedTarget::exchange_counts);
        let (all, repeated) = counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        #[expect(
            clippy::cast_precision_loss,
            reason = "targets run few requests at once"
        )]
        let share = repeated as f64 / all.max(1) as f64;
        share
    }

    /// Returns the load of a target that is reported to ingress nodes.
    #[must_use]
    pub fn load(&self, target: &str) -> usize {
        let now = self.clock.now();
        let mut targets = self.lock();
        targets.get_mut(target).map_or(0, |t| t.reported_load(now))
    }

    /// Returns the forecast of how long a new request waits at a target.
    #[must_use]
    pub fn expected_wait(&self, target: &str, rank: Rank) -> Duration {
        let now = self.clock.now();
        let mut targets = self.lock();
        let target = targets.get_mut(target);
        target.map_or(Duration::ZERO, |t| t.expected_wait(rank, now))
    }

    /// Applies what a response states about the rate of requests that its target takes. `sent` is when its
    /// request was sent. Returns whether this changes the limit.
    ///
    /// Requests that wait when a limit begins, or falls below half, are cancelled: they look for another target, and
    /// wait here again only if the new limit lets them start in time.
    pub fn apply_stated_rate(
        &self,
        target: &str,
        stated: StatedRate,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(target) else {
            return false;
        };
        let before = target.stated_rate();
        target.apply_stated_rate(stated, sent, now);
        let after = target.stated_rate();
        let waiters = match after < before / 2.0 {
            true => target.take_waiters(now),
            false => Vec::new(),
        };
        cancel_waiters(targets, waiters);
        before.total_cmp(&after).is_ne()
    }

    /// Waits for a permit to run a request.
    ///
    /// # Errors
    /// The [`Code`] of the refusal; the request has not run.
    pub async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Permit, Code> {
        let mut receiver = match self.try_admit(request, now)? {
            Placement::Admitted(permit) => return Ok(permit),
            Placement::Queued(receiver) => receiver,
        };
        loop {
            let now = self.clock.now();
            let left = request.deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(Code::Overloaded);
            }
            // The end of an exchange admits the next request; only paced starts have to be polled for.
            let next_start = self.admit_waiting(request.target);
            let wait = next_start.map_or(left, |next| next.max(PACE_INTERVAL).min(left));
            match timeout(wait, &mut receiver).await {
                Ok(Ok(permit)) => return Ok(permit),
                // The target was ejected, is suspected or is leaving, the node is shutting down, or the
                // full queue dropped the request in favour of more urgent ones.
                Ok(Err(_)) => return Err(Code::Busy),
                Err(_) => {}
            }
        }
    }

    fn try_admit(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Placement, Code> {
        let mut targets = self.lock();
        if self.closed.load(Relaxed) {
            return Err(Code::Stopping);
        }
        let target = targets.get_mut(request.target).ok_or(Code::NoTarget)?;
        if now >= target.lease_until
            || target.announcement.leaving
            || target.is_closed()
            || target.announcement.service != request.service
        {
            return Err(Code::NoTarget);
        }
        if target.is_ejected(now) && !request.may_use_ejected(target, now) {
            return Err(Code::Ejected);
        }
        target.configure(request.limits);
        if request.avoid_suspected
            && !request.floor
            && target.is_suspected(now)
            && !(request.repeatable && target.is_trial_due(now))
        {
            return Err(Code::Doubtful);
        }
        let free = target.queue.is_empty() && target.has_capacity();
        if (free || target.has_extra_slot(request.extra_slots)) && target.is_start_due(now) {
            target.start_request(now);
            return Ok(Placement::Admitted(self.permit(target)));
        }
        if request.deadline <= now {
            return Err(Code::Busy);
        }
        if now + target.expected_wait(request.rank, now) > request.deadline {
            return Err(Code::Overloaded);
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            sender,
            avoid_suspected: request.avoid_suspected && !request.floor,
        };
        let dropped = target.queue.push(
            request.rank,
            request.organisation,
            request.weight,
            request.start_limits(target),
            waiter,
            request.queue_limit,
        );
        // Dropping waiters wakes their tasks, so the lock is released first.
        drop(targets);
        drop(dropped);
        Ok(Placement::Queued(receiver))
    }

    fn permit(self: &Arc<Self>, target: &ManagedTarget) -> Permit {
        Permit {
            admission: Arc::clone(self),
            target: target.announcement.id.clone(),
            ticket: self.next_ticket.fetch_add(1, Relaxed),
            address: target.announcement.address.clone(),
            pool: Arc::clone(&target.pool),
        }
    }

    fn release(self: &Arc<Self>, target_id: &str, ticket: u64) {
        let now = self.clock.now();
        if let Some(target) = self.lock().get_mut(target_id) {
            target.release(ticket, now);
        }
        self.admit_waiting(target_id);
    }

    /// Admits waiting requests while the target has capacity. If only its pace or its stated limit holds
    /// back the next one, returns the time until that may start.
    fn admit_waiting(self: &Arc<Self>, target_id: &str) -> Option<Duration> {
        let mut discarded = Vec::new();
        let mut admitted = Vec::new();
        let mut targets = self.lock();
        let target = targets.get_mut(target_id)?;
        let now = self.clock.now();
        while !target.queue.is_empty() && target.has_capacity() && target.is_start_due(now) {
            let Some(waiter) = target.queue.pop(now, |t| discarded.push(t)) else {
                break;
            };
            if waiter.sender.is_closed() || (waiter.avoid_suspected && target.is_suspected(now)) {
                discarded.push(waiter);
                continue;
            }
            target.start_request(now);
            admitted.push((waiter.sender, self.permit(target)));
        }
        let paced = target.has_capacity() && !target.is_start_due(now);
        let next_start = paced.then(|| target.time_to_start(now));
        drop(targets);
        // If a request no longer waits, its permit is dropped here, which takes the lock.
        for (sender, permit) in admitted {
            drop(sender.send(permit));
        }
        // Dropping a waiter's sender makes its request look for another target.
        drop(discarded);
        next_start
    }

    /// Records the start of a permit's exchange.
    pub fn begin_exchange(&self, permit: &Permit, test: FailureTest, repeat: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(&permit.target) {
            target.begin_exchange(permit.ticket, test, repeat, now);
        }
    }

    /// Records an answer to a permit's request, which may prove that the target is warm, so that more requests
    /// may start.
    pub fn record_answer(self: &Arc<Self>, permit: &Permit, answer: &Answer) {
        let proven = self
            .lock()
            .get_mut(&permit.target)
            .is_some_and(|target| target.record_answer(permit.ticket, answer));
        if proven {
            self.admit_waiting(&permit.target);
        }
    }

    /// Records the result of a permit's exchange, and returns whether it ejects the target.
    pub fn record_result(
        &self,
        permit: &Permit,
        result: ExchangeResult,
        others: OtherTargets,
        now: Instant,
    ) -> bool {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(&permit.target) else {
            return false;
        };
        let ejected = target.record_result(permit.ticket, result, others, now);
        let waiters = match ejected {
            true => target.take_waiters(now),
            false => Vec::new(),
        };
        cancel_waiters(targets, waiters);
        ejected
    }

    /// Counts exchanges that take far longer than usual as failed before they end, and returns the
    /// ids of the targets that become ejected. `others` returns the statistics of a service's targets
    /// other than the one with the given id.
    pub fn eject_overdue(
        &self,
        others: impl Fn(&str, &str) -> OtherTargets,
        now: Instant,
    ) -> Vec<String> {
        let mut ejected = Vec::new();
        let mut waiters = Vec::new();
        let mut targets = self.lock();
        for target in targets.values_mut() {
            let others = others(&target.announcement.service, &target.announcement.id);
            if target.count_overdue(others, now) {
                ejected.push(target.announcement.id.clone());
                waiters.extend(target.take_waiters(now));
            }
        }
        cancel_waiters(targets, waiters);
        ejected
    }
}

/// Cancels waiting requests, so that they look for another target. This wakes their tasks, so the
/// lock is released first.
fn cancel_waiters(targets: MutexGuard<'_, Targets>, waiters: Vec<Waiter>) {
    drop(targets);
    drop(waiters);
}

/// A request for permission to run at a target.
pub struct AdmissionRequest<'r> {
    /// The target.
    pub target: &'r str,
    /// The service that the target must belong to.
    pub service: &'r str,
    /// The priority in the queue.
    pub rank: Rank,
    /// The organisation; empty on open routes.
    pub organisation: &'r str,
    /// The organisation's weight in the queue.
    pub weight: u32,
    /// Time until which the request may wait for a slot.
    pub deadline: Instant,
    /// Class of the request and time until which a response meets its objective, if its route has one.
    pub objective: Option<(LatencyClass, Instant)>,
    /// Maximum number of requests that wait at the target.
    pub queue_limit: usize,
    /// What the target can take.
    pub limits: TargetLimits,
    /// Whether the request is refused if the target is suspected to be failing, unless `floor` is set.
    pub avoid_suspected: bool,
    /// Whether the request may be repeated and has not been sent to another target.
    pub repeatable: bool,
    /// Whether the floor of its service keeps the target in use although it is failing.
    pub floor: bool,
    /// How many slots beyond the limit of the target the request may use, without waiting in the queue.
    pub extra_slots: usize,
}

impl AdmissionRequest<'_> {
    /// Returns until when it is useful to start the request.
    ///
    /// The target that made a call has a request under way that fails without it, so a call is never put
    /// behind others for being late.
    fn start_limits(&self, target: &ManagedTarget) -> StartLimits {
        let last = self.deadline;
        let timely = self
            .objective
            .filter(|_| self.rank.external)
            .and_then(|(class, until)| until.checked_sub(target.expected_latency(class)));
        StartLimits {
            timely: timely.map_or(last, |timely| timely.min(last)),
            last,
        }
    }

    /// Returns whether the request may run at an ejected target that the floor keeps in use: either as an
    /// occasional trial, or if it may wait for a slot, as it does after other targets refused it.
    fn may_use_ejected(&self, target: &mut ManagedTarget, now: Instant) -> bool {
        let waits = self.deadline > now;
        self.floor && (waits || (!self.avoid_suspected && target.take_trial(now)))
    }
}

/// The result of [`Admission::try_admit`].
enum Placement {
    Admitted(Permit),
    /// The permit is sent once the request is admitted; the channel closes if it never will be.
    Queued(oneshot::Receiver<Permit>),
}
