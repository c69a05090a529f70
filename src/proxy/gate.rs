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
    policy::{eject::OtherTargets, limit::ExchangeResult, queue::Rank},
    proxy::{
        Code,
        guarded::{Announcement, Guarded, Test, Waiter},
        target::Pool,
    },
};

/// How long an announcement of the fleet's own interface lasts on the guard's clock.
pub const LEASE: Duration = Duration::from_secs(2);

/// How often a request that waits looks whether a paced target may start one.
const PACE_TICK: Duration = Duration::from_millis(20);

/// Targets by their names.
type Targets = HashMap<String, Guarded>;

/// All targets that this node guards.
pub struct Gate {
    clock: SharedClock,
    tickets: AtomicU64,
    closed: AtomicBool,
    targets: Mutex<Targets>,
}

/// The right to run one request at a target; dropping it lets the next one in.
pub struct Permit {
    gate: Arc<Gate>,
    target: String,
    ticket: u64,
    /// The target's address.
    pub address: String,
    /// The connections to it.
    pub pool: Arc<Pool>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.leave(&self.target, self.ticket);
    }
}

impl Gate {
    /// Creates a gate before no targets.
    #[must_use]
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            tickets: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            targets: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an announcement up, which also renews the target's lease, and tells whether it was the
    /// newest one of its target.
    pub fn announce(&self, said: Announcement, now: Instant) -> bool {
        let mut targets = self.lock();
        let mut waiting = Vec::new();
        // Two targets can't be at one address; the one that was started last is there.
        let same_place = |t: &Guarded| t.said.address == said.address && t.said.id != said.id;
        if targets
            .values()
            .any(|t| same_place(t) && t.said.born > said.born)
        {
            return false;
        }
        for target in targets.values_mut().filter(|t| same_place(t)) {
            target.lease = now;
            waiting.extend(target.take_waiting(now));
        }
        let newest = match targets.get_mut(&said.id) {
            Some(target) if target.said.address == said.address => {
                let newest = target.renew(said, now);
                if target.said.leaving {
                    waiting.extend(target.take_waiting(now));
                }
                newest
            }
            _ => {
                targets.insert(said.id.clone(), Guarded::new(said, now));
                true
            }
        };
        send_away(targets, waiting);
        newest
    }

    /// Takes up that a target has left, or is about to.
    pub fn withdraw(&self, target: &str, now: Instant) {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(target) else {
            return;
        };
        target.said.leaving = true;
        let waiting = target.take_waiting(now);
        send_away(targets, waiting);
    }

    /// Closes the gate for a node that stops: what waits goes elsewhere, and nothing more is let in.
    pub fn close(&self, now: Instant) {
        self.closed.store(true, Relaxed);
        let mut targets = self.lock();
        let waiting: Vec<Waiter> = targets
            .values_mut()
            .flat_map(|target| target.take_waiting(now))
            .collect();
        send_away(targets, waiting);
    }

    /// Takes up that a target says it stays cold this much longer.
    pub fn chill(&self, target: &str, left: Duration, now: Instant) {
        if let Some(target) = self.lock().get_mut(target) {
            target.chill(left, now);
        }
    }

    /// Drops targets whose lease has lapsed, and brings ejected ones back whose wait is over.
    ///
    /// Returns the addresses of targets that a probe should decide about.
    pub fn sweep(&self, now: Instant) -> Vec<(String, String)> {
        let mut targets = self.lock();
        targets.retain(|_, t| t.is_kept(now) || t.running > 0);
        targets
            .values()
            .filter(|t| t.probe_due(now))
            .map(|t| (t.said.id.clone(), t.said.address.clone()))
            .collect()
    }

    /// Takes up how a probe of an ejected target went.
    pub fn probed(&self, target: &str, good: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(target) {
            target.probed(good, now);
        }
    }

    /// Returns the records of all targets.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<TargetRecord> {
        let mut targets = self.lock();
        let mut records: Vec<TargetRecord> = targets
            .values_mut()
            .filter(|t| now < t.lease)
            .map(|t| t.record_of(now))
            .collect();
        records.sort_by(|a, b| a.id.cmp(&b.id));
        records
    }

    /// Takes up what services state about their targets. Until it is known, a target that nobody has
    /// asked yet would be taken for cold, and so hardly be asked.
    pub fn configure(&self, stated: impl Fn(&str) -> Option<(usize, f64)>) {
        for target in self.lock().values_mut() {
            if let Some((connections, cold_rate)) = stated(&target.said.service) {
                target.configure(connections, cold_rate);
            }
        }
    }

    /// Returns how many requests run or wait at all targets.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.lock()
            .values()
            .map(|t| t.running + t.queue.len())
            .sum()
    }

    /// Returns the evidence that a target fails, for logs.
    #[must_use]
    pub fn evidence(&self, target: &str, now: Instant) -> f64 {
        let mut targets = self.lock();
        targets.get_mut(target).map_or(0.0, |t| t.evidence(now))
    }

    /// Returns the share of running requests, at all targets, that may have reached another before.
    #[must_use]
    pub fn repeated_share(&self) -> f64 {
        let targets = self.lock();
        let counts = targets.values().map(Guarded::repeated);
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
    pub async fn enter(self: &Arc<Self>, wish: &Wish<'_>, now: Instant) -> Result<Permit, Code> {
        let mut ticket = match self.knock(wish, now)? {
            Entered::At(permit) => return Ok(permit),
            Entered::Queue(ticket) => ticket,
        };
        loop {
            let now = self.clock.now();
            let left = wish.deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(Code::Overloaded);
            }
            // Ends of exchanges let the next one in; only a start that is paced has to be looked for.
            let paced = self.pump(wish.target);
            let wait = if paced { PACE_TICK.min(left) } else { left };
            match timeout(wait, &mut ticket).await {
                Ok(Ok(permit)) => return Ok(permit),
                // The target was ejected or left, or more urgent requests took the room.
                Ok(Err(_)) => return Err(Code::Busy),
                Err(_) => {}
            }
        }
    }

    fn knock(self: &Arc<Self>, wish: &Wish<'_>, now: Instant) -> Result<Entered, Code> {
        let mut targets = self.lock();
        if self.closed.load(Relaxed) {
            return Err(Code::Stopping);
        }
        let target = targets.get_mut(wish.target).ok_or(Code::NoTarget)?;
        if now >= target.lease || target.said.leaving || target.said.service != wish.service {
            return Err(Code::NoTarget);
        }
        if target.out(now) && !wish.may_run_out(target, now) {
            return Err(Code::Ejected);
        }
        if wish.careful && !wish.floor && target.doubtful(now) {
            return Err(Code::Doubtful);
        }
        target.configure(wish.connections, wish.cold_rate);
        if target.queue.is_empty() && target.has_room() && target.is_start_due(now) {
            target.let_in();
            return Ok(Entered::At(self.permit(target)));
        }
        if wish.deadline <= now {
            return Err(Code::Busy);
        }
        let (sender, ticket) = oneshot::channel();
        let waiter = Waiter {
            sender,
            careful: wish.careful && !wish.floor,
        };
        let dropped = target.queue.push(
            wish.rank,
            wish.organisation,
            wish.weight,
            wish.deadline,
            waiter,
            wish.most,
        );
        drop(targets);
        drop(dropped);
        Ok(Entered::Queue(ticket))
    }

    fn permit(self: &Arc<Self>, target: &Guarded) -> Permit {
        Permit {
            gate: Arc::clone(self),
            target: target.said.id.clone(),
            ticket: self.tickets.fetch_add(1, Relaxed),
            address: target.said.address.clone(),
            pool: Arc::clone(&target.pool),
        }
    }

    fn leave(self: &Arc<Self>, name: &str, ticket: u64) {
        let now = self.clock.now();
        if let Some(target) = self.lock().get_mut(name) {
            target.end(ticket, now);
        }
        self.pump(name);
    }

    /// Lets in whom the target has room for, and tells whether one waits for its pace alone.
    fn pump(self: &Arc<Self>, name: &str) -> bool {
        let mut gone = Vec::new();
        let mut handed = Vec::new();
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(name) else {
            return false;
        };
        let now = self.clock.now();
        while !target.queue.is_empty() && target.has_room() && target.is_start_due(now) {
            let Some(waiter) = target.queue.pop(now, |t| gone.push(t)) else {
                break;
            };
            if waiter.sender.is_closed() || (waiter.careful && target.doubtful(now)) {
                gone.push(waiter);
                continue;
            }
            target.let_in();
            handed.push((waiter.sender, self.permit(target)));
        }
        let paced = target.has_room() && !target.is_start_due(now);
        drop(targets);
        // A permit that nobody takes comes back through its own drop, which needs the lock.
        for (sender, permit) in handed {
            drop(sender.send(permit));
        }
        // Whose sender goes looks for another target.
        drop(gone);
        paced
    }

    /// Takes up that the exchange of a permit begins.
    pub fn begin(&self, permit: &Permit, test: Test, repeat: bool, now: Instant) {
        if let Some(target) = self.lock().get_mut(&permit.target) {
            target.begin(permit.ticket, test, repeat, now);
        }
    }

    /// Takes up how a target took the request of a permit, and tells whether that ejects it.
    pub fn record(
        &self,
        permit: &Permit,
        taken: ExchangeResult,
        others: OtherTargets,
        now: Instant,
    ) -> bool {
        let mut targets = self.lock();
        let Some(target) = targets.get_mut(&permit.target) else {
            return false;
        };
        let ejected = target.record(permit.ticket, taken, others, now);
        let waiting = match ejected {
            true => target.take_waiting(now),
            false => Vec::new(),
        };
        send_away(targets, waiting);
        ejected
    }

    /// Counts exchanges that take far longer than they should as bad before they end, and returns
    /// the targets that this ejects.
    pub fn overdue(
        &self,
        others: impl Fn(&str, &str) -> OtherTargets,
        now: Instant,
    ) -> Vec<String> {
        let mut ejected = Vec::new();
        let mut waiting = Vec::new();
        let mut targets = self.lock();
        for target in targets.values_mut() {
            let others = others(&target.said.service, &target.said.id);
            if target.count_overdue(others, now) {
                ejected.push(target.said.id.clone());
                waiting.extend(target.take_waiting(now));
            }
        }
        send_away(targets, waiting);
        ejected
    }
}

/// Sends requests that wait elsewhere. That wakes their tasks, so that the lock is given back first.
fn send_away(targets: MutexGuard<'_, Targets>, waiting: Vec<Waiter>) {
    drop(targets);
    drop(waiting);
}

/// Who wants to run what, and how long it may wait.
pub struct Wish<'w> {
    /// The target.
    pub target: &'w str,
    /// The service that it must serve.
    pub service: &'w str,
    /// How urgent it is.
    pub rank: Rank,
    /// The organisation; empty on open routes.
    pub organisation: &'w str,
    /// Its weight in the queue.
    pub weight: u32,
    /// Until when it may wait for a slot.
    pub deadline: Instant,
    /// Requests that may wait at the target.
    pub most: usize,
    /// Connections that the target accepts.
    pub connections: usize,
    /// Requests a second that a cold target bears; 0 when its service states none.
    pub cold_rate: f64,
    /// Whether it should rather run where nothing speaks against the target.
    pub careful: bool,
    /// Whether the floor keeps the target in although it fails.
    pub floor: bool,
}

impl Wish<'_> {
    /// Tells whether the request may run at a target that is out: where the floor keeps it in, as a
    /// trial now and then, or when it was refused elsewhere and comes back to wait.
    fn may_run_out(&self, target: &mut Guarded, now: Instant) -> bool {
        let waits = self.deadline > now;
        self.floor && (waits || (!self.careful && target.try_out(now)))
    }
}

enum Entered {
    At(Permit),
    Queue(oneshot::Receiver<Permit>),
}
