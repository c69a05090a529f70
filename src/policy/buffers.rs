//! Budget of the bytes of bodies that a node holds for callers and targets.
//!
//! Load pattern: many callers send or read slowly, so that bodies pile up until the node exceeds its memory. Each body
//! holds a lease, and one organisation's bodies can't take the room of all others. See
//! [docs/decisions/7-bytes-held.md](../../docs/decisions/7-bytes-held.md).

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::policy::turnover::Turnover;

/// Number of classes.
const CLASSES: usize = 2;

/// An organisation may hold this many times what remains free in a class.
const OWNER_SHARE: usize = 2;

/// How long a caller may make no progress before it can be cut.
pub const STALL_TIME: Duration = Duration::from_secs(2);

/// Longest time in which the whole budget is assumed to be returned, since callers that stall are cut.
const LONGEST_TURNOVER: f64 = 10.0;

/// Bytes that are leased at least for a response before its size is known.
const LEAST_RESPONSE: usize = 16 << 10;

/// Divisor of the expected size of an organisation's responses by which each smaller one lowers it.
const SIZE_DECAY: usize = 8;

new_key_type! {
    /// Key of a lease in a [`BufferBudget`].
    pub struct LeaseKey;
}

value! {
    /// What a body is held for.
    pub enum BufferClass {
        /// The body of a request.
        Request,
        /// The body of a response.
        Response,
    }
}

/// All classes.
pub const BUFFER_CLASSES: [BufferClass; CLASSES] = [BufferClass::Request, BufferClass::Response];

impl BufferClass {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
        }
    }

    fn index(self) -> usize {
        match self {
            Self::Request => 0,
            Self::Response => 1,
        }
    }

    /// Returns the largest part of a budget that the class may hold. A response is worth more than a request that has
    /// not run yet.
    fn limit(self, total: usize) -> usize {
        match self {
            Self::Request => total / 2,
            Self::Response => total / 4 * 3,
        }
    }
}

/// There is no room for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// The bytes that one body holds.
#[derive(Debug)]
struct Lease {
    class: BufferClass,
    owner: Arc<str>,
    bytes: usize,
    /// Since when the caller owes progress; `None` while the body waits for something else.
    stalled: Option<Instant>,
}

/// Counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Bytes that are held.
    pub held: usize,
    /// Bytes that waiting requests need.
    pub awaited: usize,
    /// Bodies that were refused for lack of room.
    pub refused: u64,
    /// Callers that were cut.
    pub cut: u64,
}

/// The bytes that a node may hold, and the leases of them.
#[derive(Debug)]
pub struct BufferBudget {
    total: usize,
    leases: SlotMap<LeaseKey, Lease>,
    counts: [ClassCounts; CLASSES],
    /// Bytes that each organisation holds in each class.
    owners: HashMap<(BufferClass, Arc<str>), usize>,
    returns: [Turnover; CLASSES],
    /// Expected sizes of the responses to organisations, where above [`LEAST_RESPONSE`].
    sizes: HashMap<Arc<str>, usize>,
}

impl BufferBudget {
    /// Creates a budget of `total` bytes.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "budgets are below 2^52")]
    pub fn new(total: usize, now: Instant) -> Self {
        let least = total.max(1) as f64 / LONGEST_TURNOVER;
        Self {
            total,
            leases: SlotMap::with_key(),
            counts: [ClassCounts::default(); CLASSES],
            owners: HashMap::new(),
            returns: [Turnover::new(least, now); CLASSES],
            sizes: HashMap::new(),
        }
    }

    /// Returns the counts of a class.
    #[must_use]
    pub fn counts(&self, class: BufferClass) -> ClassCounts {
        self.counts[class.index()]
    }

    /// Returns the free bytes of a class.
    #[must_use]
    pub fn free(&self, class: BufferClass) -> usize {
        let held: usize = self.counts.iter().map(|c| c.held).sum();
        let of_class = class.limit(self.total) - self.counts(class).held;
        of_class.min(self.total - held)
    }

    /// Returns the largest body that can ever get a lease.
    #[must_use]
    pub fn largest(&self, class: BufferClass) -> usize {
        class.limit(self.total)
    }

    fn held_by(&self, class: BufferClass, owner: &Arc<str>) -> usize {
        let held = self.owners.get(&(class, Arc::clone(owner)));
        held.copied().unwrap_or(0)
    }

    /// Leases bytes of a class to an organisation.
    ///
    /// # Errors
    /// [`NoRoom`] if that would exceed the budget or the organisation's share.
    pub fn lease(
        &mut self,
        class: BufferClass,
        owner: &Arc<str>,
        bytes: usize,
    ) -> Result<LeaseKey, NoRoom> {
        if !fits(self.free(class), self.held_by(class, owner), bytes) {
            return Err(NoRoom);
        }
        let key = self.leases.insert(Lease {
            class,
            owner: Arc::clone(owner),
            bytes: 0,
            stalled: None,
        });
        self.add(key, bytes);
        Ok(key)
    }

    fn add(&mut self, key: LeaseKey, more: usize) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        lease.bytes += more;
        self.counts[lease.class.index()].held += more;
        let owner = (lease.class, Arc::clone(&lease.owner));
        *self.owners.entry(owner).or_default() += more;
    }

    /// Extends a lease to this many bytes; does nothing if it has as many.
    ///
    /// # Errors
    /// [`NoRoom`] if that would exceed the budget or the organisation's share; the lease stays as it was.
    pub fn extend(&mut self, key: LeaseKey, bytes: usize) -> Result<(), NoRoom> {
        let lease = self.leases.get(key).ok_or(NoRoom)?;
        let more = bytes.saturating_sub(lease.bytes);
        let others = self.held_by(lease.class, &lease.owner) - lease.bytes;
        // What the lease itself holds must not count as the organisation's, or a single body could not grow.
        let held = if others == 0 { 0 } else { others + lease.bytes };
        if more > 0 && !fits(self.free(lease.class), held, more) {
            return Err(NoRoom);
        }
        self.add(key, more);
        Ok(())
    }

    /// Reduces a lease to this many bytes; does nothing if it has no more.
    pub fn shrink(&mut self, key: LeaseKey, bytes: usize, now: Instant) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let less = lease.bytes.saturating_sub(bytes);
        lease.bytes -= less;
        let (class, owner) = (lease.class, Arc::clone(&lease.owner));
        self.give_back(class, owner, less, now);
    }

    fn give_back(&mut self, class: BufferClass, owner: Arc<str>, bytes: usize, now: Instant) {
        self.counts[class.index()].held -= bytes;
        self.returns[class.index()].record(bytes, now);
        let owner = (class, owner);
        if let Some(held) = self.owners.get_mut(&owner) {
            *held -= bytes;
            if *held == 0 {
                self.owners.remove(&owner);
            }
        }
    }

    /// Records the size of a response to an organisation.
    pub fn record_response(&mut self, owner: &Arc<str>, bytes: usize) {
        let expected = self.expected_response(owner);
        let expected = bytes.max(expected - expected / SIZE_DECAY);
        match expected > LEAST_RESPONSE {
            true => self.sizes.insert(Arc::clone(owner), expected),
            false => self.sizes.remove(owner),
        };
    }

    /// Returns how many bytes to lease for a response before its size is known.
    #[must_use]
    pub fn expected_response(&self, owner: &Arc<str>) -> usize {
        self.sizes.get(owner).copied().unwrap_or(LEAST_RESPONSE)
    }

    /// Records that the caller has made progress with a body, and owes more from now.
    pub fn await_caller(&mut self, key: LeaseKey, now: Instant) {
        if let Some(lease) = self.leases.get_mut(key) {
            lease.stalled = Some(now);
        }
    }

    /// Records that a body no longer waits for its caller.
    pub fn await_target(&mut self, key: LeaseKey) {
        if let Some(lease) = self.leases.get_mut(key) {
            lease.stalled = None;
        }
    }

    /// Returns a lease's bytes to the budget. Has no effect on a lease that has been returned.
    pub fn release(&mut self, key: LeaseKey, now: Instant) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.give_back(lease.class, lease.owner, lease.bytes, now);
    }

    /// Returns leases of a class to cut so that `bytes` fit for an organisation, those first whose callers have made no
    /// progress for the longest time. If only the organisation's share is used up, its own are cut. Returns none if that
    /// would not suffice.
    pub fn cut_slowest(
        &mut self,
        class: BufferClass,
        owner: &Arc<str>,
        bytes: usize,
        now: Instant,
    ) -> Vec<LeaseKey> {
        let (mut free, mut held) = (self.free(class), self.held_by(class, owner));
        let own_only = free >= bytes;
        let mut cut = Vec::new();
        for (_, key) in self.stalled(class, now) {
            let lease = &self.leases[key];
            let is_own = lease.owner == *owner;
            if fits(free, held, bytes) {
                break;
            }
            if is_own || !own_only {
                free += lease.bytes;
                held -= if is_own { lease.bytes } else { 0 };
                cut.push(key);
            }
        }
        if !fits(free, held, bytes) {
            return Vec::new();
        }
        for key in &cut {
            // A lease is cut once, although its bytes are returned later.
            self.await_target(*key);
        }
        self.counts[class.index()].cut += cut.len() as u64;
        cut
    }

    /// Returns whether the caller of a lease has made no progress for [`STALL_TIME`].
    #[must_use]
    pub fn is_stalled(&self, key: LeaseKey, now: Instant) -> bool {
        let since = self.leases.get(key).and_then(|l| l.stalled);
        since.is_some_and(|since| now.saturating_duration_since(since) >= STALL_TIME)
    }

    /// Returns the leases of a class that can be cut, and since when their callers have made no progress, in that order.
    fn stalled(&self, class: BufferClass, now: Instant) -> Vec<(Instant, LeaseKey)> {
        let leases = self.leases.iter().filter(|(_, l)| l.class == class);
        let mut stalled: Vec<_> = leases
            .filter_map(|(key, l)| Some((l.stalled?, key)))
            .filter(|(since, _)| now.saturating_duration_since(*since) >= STALL_TIME)
            .collect();
        stalled.sort_unstable();
        stalled
    }

    /// Returns when there will be room for `bytes` of an organisation, from now, if as many are returned as recently.
    #[must_use]
    pub fn forecast(
        &self,
        class: BufferClass,
        owner: &Arc<str>,
        bytes: usize,
        now: Instant,
    ) -> Duration {
        let (free, held) = (self.free(class), self.held_by(class, owner));
        let needed = self.counts(class).awaited + bytes;
        let missing = needed.saturating_sub(free);
        // Each byte that the organisation returns leaves it one less, and the class one more to share.
        let excess = (held + bytes).saturating_sub(OWNER_SHARE * free.saturating_sub(bytes));
        let own = if held == 0 {
            0
        } else {
            excess / (1 + OWNER_SHARE)
        };
        let all_for_own = own.saturating_mul(self.counts(class).held / held.max(1));
        self.returns[class.index()].time_for(missing.max(all_for_own), now)
    }

    /// Counts the bytes of a request that begins or ends to wait for room.
    pub fn set_waiting(&mut self, class: BufferClass, bytes: usize, waits: bool) {
        let awaited = &mut self.counts[class.index()].awaited;
        *awaited = match waits {
            true => *awaited + bytes,
            false => awaited.saturating_sub(bytes),
        };
    }

    /// Counts a body that was refused for lack of room.
    pub fn record_refusal(&mut self, class: BufferClass) {
        self.counts[class.index()].refused += 1;
    }
}

/// Returns whether an organisation that holds `held` bytes of a class may hold `more` on top, of which `free` are free.
fn fits(free: usize, held: usize, more: usize) -> bool {
    match free.checked_sub(more) {
        None => false,
        Some(_) if held == 0 => true,
        Some(left) => held + more <= OWNER_SHARE * left,
    }
}
