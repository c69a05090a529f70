//! The one gate before the targets of this VM.

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
    clock::SharedClock,
    fleet::codec::TargetRecord,
    policy::{eject::Others, limit::Taken, queue::Rank},
    proxy::{
        Code,
        exchange::ConnectionPool,
        target_state::{Announcement, FailureTest, ManagedTarget, Waiter},
    },
};

/// How long an announcement of the fleet's own interface lasts on the guard's clock.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(2);

/// How often a request that waits looks whether a paced target may start one.
const PACE_INTERVAL: Duration = Duration::from_millis(20);

/// Targets by their names.
type Targets = HashMap<String, ManagedTarget>;

/// All targets that this node guards.
pub struct Admission {
    clock: SharedClock,
    next_ticket: AtomicU64,
    closed: AtomicBool,
    targets: Mutex<Targets>,
}

/// The right to run one request at a target; dropping it lets the next one in.
pub struct Permit {
    admission: Arc<Admission>,
    target: String,
    ticket: u64,
    /// The target's address.
    pub address: String,
    /// The connections to it.
    pub pool: Arc<ConnectionPool>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.release(&self.target, self.ticket);
    }
}

impl Admission {
    /// Creates a gate before no targets.
    #[must_use]
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            next_ticket: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            targets: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an announcement up, which also renews the target's lease, and tells whether it was the
    /// newest one of its target.
    pub fn apply_announcement(&self, announcement: Announcement, now: Instant) -> bool {
        let mut targets = self.lock();
        let mut waiters = Vec::new();
        // Two targets can't be at one address; the one that was started last is there.
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
        let newest = match targets.get_mut(&announcement.id) {
            Some(target) if target.announcement.address == announcement.address => {
                let newest = target.apply_announcement(announcement, now);
                if target.announcement.leaving {
                    waiters.extend(target.take_waiters(now));
                }
                newest
            }
            _ => {
                targets.insert(
                    announcement.id.clone(),
                    ManagedTarget::new(announcement, now),
                );
                true
            }
        };
        cancel_waiters(targets, waiters);
        newest
    }

    /// Takes up that a target has left, or is about to.
    pub fn withdraw(&self, target: &str, now: Instant) {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(target) else {
            return;
        };
        target.announcement.leaving = true;
        let waiters = target.take_waiters(now);
        cancel_waiters(targets, waiters);
    }

    /// Closes the gate for a node that stops: what waits goes elsewhere, and nothing more is let in.
    pub fn close(&self, now: Instant) {
        self.closed.store(true, Relaxed);
        let mut targets = self.lock();
        let waiters: Vec<Waiter> = targets
            .values_mut()
            .flat_map(|target| target.take_waiters(now))
            .collect();
        cancel_waiters(targets, waiters);
    }

    /// Takes up that a target says it stays cold this much longer.
    pub fn extend_cold(&self, target: &str, left: Duration, now: Instant) {
        if let Some(target) = self.lock().get_mut(target) {
            target.extend_cold(left, now);
        }
    }

    /// Drops targets whose lease has lapsed, and brings ejected ones back whose wait is over.
    ///
    /// Returns the addresses of targets that a probe should decide about.
    pub fn sweep(&self, now: Instant) -> Vec<(String, String)> {
        let mut targets = self.lock();
        targets.retain(|_, t| t.is_retained(now) || t.running > 0);
        targets
            .values()
            .filter(|t| t.is_probe_due(now))
            .map(|t| (t.announcement.id.clone(), t.announcement.address.clone()))
            .collect()
    }

    /// Takes up how a probe of an ejected target went.
    pub fn record_probe(&self, target: &str, good: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(target) {
            target.record_probe(good, now);
        }
    }

    /// Returns the records of all targets.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<TargetRecord> {
        let mut targets = self.lock();
        let mut records: Vec<TargetRecord> = targets
            .values_mut()
            .filter(|t| now < t.lease_until)
            .map(|t| t.to_record(now))
            .collect();
        records.sort_by(|a, b| a.id.cmp(&b.id));
        records
    }

    /// Takes up what services state about their targets. Until it is known, a target that nobody has
    /// asked yet would be taken for cold, and so hardly be asked.
    pub fn configure(&self, stated: impl Fn(&str) -> Option<(usize, f64)>) {
        for target in self.lock().values_mut() {
            if let Some((connections, cold_rate)) = stated(&target.announcement.service) {
                target.configure(connections, cold_rate);
            }
        }
    }

    /// Returns how many requests run or wait at all targets.
    #[must_use]
    pub fn total_load(&self) -> usize {
        self.lock()
            .values()
            .map(|t| t.running + t.queue.len())
            .sum()
    }

    /// Returns the evidence that a target fails, for logs.
    #[must_use]
    pub fn failure_evidence(&self, target: &str, now: Instant) -> f64 {
        let mut targets = self.lock();
        targets
            .get_mut(target)
            .map_or(0.0, |t| t.failure_evidence(now))
    }

    /// Returns the share of running requests, at all targets, that may have reached another before.
    #[must_use]
    pub fn repeated_share(&self) -> f64 {
        let targets = self.lock();
        let counts = targets.values().map(ManagedTarget::exchange_counts);
        let (all, repeated) = counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        #[expect(clippy::cast_precision_loss, reason = "targets run few at once")]
        let share = repeated as f64 / all.max(1) as f64;
        share
    }

    /// Returns how many requests run or wait at a target.
    #[must_use]
    pub fn load(&self, target: &str) -> usize {
        self.lock()
            .get(target)
            .map_or(0, |t| t.running + t.queue.len())
    }

    /// Waits for the right to run a request.
    ///
    /// # Errors
    /// The code of a true refusal.
    pub async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Permit, Code> {
        let mut ticket = match self.try_admit(request, now)? {
            Placement::Admitted(permit) => return Ok(permit),
            Placement::Queued(ticket) => ticket,
        };
        loop {
            let now = self.clock.now();
            let left = request.deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(Code::Overloaded);
            }
            // Ends of exchanges let the next one in; only a start that is paced has to be looked for.
            let paced = self.admit_waiting(request.target);
            let wait = if paced { PACE_INTERVAL.min(left) } else { left };
            match timeout(wait, &mut ticket).await {
                Ok(Ok(permit)) => return Ok(permit),
                // The target was ejected or left, or more urgent requests took the room.
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
            || target.announcement.service != request.service
        {
            return Err(Code::NoTarget);
        }
        if target.is_ejected(now) && !request.may_use_ejected(target, now) {
            return Err(Code::Ejected);
        }
        if request.avoid_suspected && !request.floor && target.is_suspected(now) {
            return Err(Code::Doubtful);
        }
        target.configure(request.connections, request.cold_rate);
        if target.queue.is_empty() && target.has_room() && target.is_start_due(now) {
            target.start_request();
            return Ok(Placement::Admitted(self.permit(target)));
        }
        if request.deadline <= now {
            return Err(Code::Busy);
        }
        let (sender, ticket) = oneshot::channel();
        let waiter = Waiter {
            sender,
            avoid_suspected: request.avoid_suspected && !request.floor,
        };
        let dropped = target.queue.push(
            request.rank,
            request.organisation,
            request.weight,
            request.deadline,
            waiter,
            request.queue_limit,
        );
        drop(targets);
        drop(dropped);
        Ok(Placement::Queued(ticket))
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

    fn release(self: &Arc<Self>, name: &str, ticket: u64) {
        let now = self.clock.now();
        if let Some(target) = self.lock().get_mut(name) {
            target.release(ticket, now);
        }
        self.admit_waiting(name);
    }

    /// Lets in whom the target has room for, and tells whether one waits for its pace alone.
    fn admit_waiting(self: &Arc<Self>, name: &str) -> bool {
        let mut rejected = Vec::new();
        let mut admitted = Vec::new();
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(name) else {
            return false;
        };
        let now = self.clock.now();
        while !target.queue.is_empty() && target.has_room() && target.is_start_due(now) {
            let Some(waiter) = target.queue.pop(now, |t| rejected.push(t)) else {
                break;
            };
            if waiter.sender.is_closed() || (waiter.avoid_suspected && target.is_suspected(now)) {
                rejected.push(waiter);
                continue;
            }
            target.start_request();
            admitted.push((waiter.sender, self.permit(target)));
        }
        let paced = target.has_room() && !target.is_start_due(now);
        drop(targets);
        // A permit that nobody takes comes back through its own drop, which needs the lock.
        for (sender, permit) in admitted {
            drop(sender.send(permit));
        }
        // Whose sender goes looks for another target.
        drop(rejected);
        paced
    }

    /// Takes up that the exchange of a permit begins.
    pub fn begin_exchange(&self, permit: &Permit, test: FailureTest, repeat: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(&permit.target) {
            target.begin_exchange(permit.ticket, test, repeat, now);
        }
    }

    /// Takes up how a target took the request of a permit, and tells whether that ejects it.
    pub fn record_result(
        &self,
        permit: &Permit,
        taken: Taken,
        others: Others,
        now: Instant,
    ) -> bool {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(&permit.target) else {
            return false;
        };
        let ejected = target.record_result(permit.ticket, taken, others, now);
        let waiters = match ejected {
            true => target.take_waiters(now),
            false => Vec::new(),
        };
        cancel_waiters(targets, waiters);
        ejected
    }

    /// Counts exchanges that take far longer than they should as bad before they end, and returns
    /// the targets that this ejects.
    pub fn eject_overdue(
        &self,
        others: impl Fn(&str, &str) -> Others,
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

/// Sends requests that wait elsewhere. That wakes their tasks, so that the lock is given back first.
fn cancel_waiters(targets: MutexGuard<'_, Targets>, waiters: Vec<Waiter>) {
    drop(targets);
    drop(waiters);
}

/// Who wants to run what, and how long it may wait.
pub struct AdmissionRequest<'r> {
    /// The target.
    pub target: &'r str,
    /// The service that it must serve.
    pub service: &'r str,
    /// How urgent it is.
    pub rank: Rank,
    /// The organisation; empty on open routes.
    pub organisation: &'r str,
    /// Its weight in the queue.
    pub weight: u32,
    /// Until when it may wait for a slot.
    pub deadline: Instant,
    /// Requests that may wait at the target.
    pub queue_limit: usize,
    /// Connections that the target accepts.
    pub connections: usize,
    /// Requests a second that a cold target bears; 0 when its service states none.
    pub cold_rate: f64,
    /// Whether it should rather run where nothing speaks against the target.
    pub avoid_suspected: bool,
    /// Whether the floor keeps the target in although it fails.
    pub floor: bool,
}

impl AdmissionRequest<'_> {
    /// Tells whether the request may run at a target that is out: where the floor keeps it in, as a
    /// trial now and then, or when it was refused elsewhere and comes back to wait.
    fn may_use_ejected(&self, target: &mut ManagedTarget, now: Instant) -> bool {
        let waits = self.deadline > now;
        self.floor && (waits || (!self.avoid_suspected && target.take_trial(now)))
    }
}

enum Placement {
    Admitted(Permit),
    Queued(oneshot::Receiver<Permit>),
}
