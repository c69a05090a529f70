//! Leases of the bytes that bodies hold, and the callers that wait for one or are cut to make room.
//!
//! The decisions are those of [`BufferBudget`].

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use slotmap::SecondaryMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    clock::SharedClock,
    fleet::{Body, BoxError, box_body},
    policy::buffers::{BUFFER_CLASSES, BufferBudget, BufferClass, ClassCounts, LeaseKey, NoRoom},
    proxy::TrackedBody,
};

/// Divisor of a node's memory that gives the budget for bodies.
const MEMORY_DIVISOR: usize = 4;

/// Largest part of a buffered body that is passed to a connection at once.
const SLICE: usize = 16 << 10;

/// How often a response that occupies a target is checked for a caller that doesn't read it.
const STALL_CHECK: Duration = Duration::from_millis(250);

/// How often a waiting request checks for room, even if no lease is returned.
const ROOM_CHECK: Duration = Duration::from_millis(500);

/// Shortest time between two searches for callers to cut, which look at all leases.
const CUT_INTERVAL: Duration = Duration::from_millis(50);

/// Ends what a caller does when it is notified: its connection, or the read of its request.
pub type Cut = Arc<Notify>;

/// The body buffers of a node.
pub struct Buffers {
    state: Mutex<State>,
    /// Notifies the longest waiting request of each class when a lease is returned.
    returned: [Notify; 2],
    clock: SharedClock,
}

struct State {
    budget: BufferBudget,
    holders: SecondaryMap<LeaseKey, Holder>,
    /// When callers of each class may be cut again.
    next_cut: [Instant; 2],
}

/// Whose body needs a lease, and for what.
#[derive(Clone)]
pub struct Holder {
    /// What the body is held for.
    pub class: BufferClass,
    /// The organisation; empty if there is none.
    pub organisation: Arc<str>,
    /// Notified if the caller is cut.
    pub cut: Cut,
}

impl Holder {
    /// Returns the holder of a response to an organisation, whose connection `cut` resets.
    #[must_use]
    pub fn of_response(organisation: &str, cut: &Cut) -> Self {
        Self {
            class: BufferClass::Response,
            organisation: organisation.into(),
            cut: Arc::clone(cut),
        }
    }

    /// Returns the holder of a request of an organisation.
    #[must_use]
    pub fn of_request(organisation: &str) -> Self {
        Self {
            class: BufferClass::Request,
            organisation: organisation.into(),
            cut: Cut::default(),
        }
    }
}

/// Room for the response to a request, leased before the request is sent on; clones share it.
#[derive(Clone, Default)]
pub struct ReservedRoom {
    lease: Arc<Mutex<Option<BodyLease>>>,
    /// Resets the caller's connection when it is notified.
    pub cut: Cut,
}

impl ReservedRoom {
    /// Returns the room for a response to the caller whose connection `cut` resets.
    #[must_use]
    pub fn new(lease: Option<BodyLease>, cut: Cut) -> Self {
        Self {
            lease: Arc::new(Mutex::new(lease)),
            cut,
        }
    }

    /// Takes the lease, `None` if there is none or it was taken.
    #[must_use]
    pub fn take(&self) -> Option<BodyLease> {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.take()
    }
}

/// A lease of bytes, which dropping it returns.
pub struct BodyLease {
    buffers: Arc<Buffers>,
    key: LeaseKey,
    holder: Holder,
}

impl Buffers {
    /// Creates the buffers of a node with this much memory.
    #[must_use]
    pub fn new(memory: usize, clock: SharedClock) -> Arc<Self> {
        let budget = BufferBudget::new(memory / MEMORY_DIVISOR, clock.now());
        Arc::new(Self {
            state: Mutex::new(State {
                budget,
                holders: SecondaryMap::new(),
                next_cut: [clock.now(); 2],
            }),
            returned: [Notify::new(), Notify::new()],
            clock,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of each class.
    #[must_use]
    pub fn counts(&self) -> [(BufferClass, ClassCounts); 2] {
        let state = self.state();
        BUFFER_CLASSES.map(|class| (class, state.budget.counts(class)))
    }

    /// Returns the largest body of a class that can ever get a lease.
    #[must_use]
    pub fn largest(&self, class: BufferClass) -> usize {
        self.state().budget.largest(class)
    }

    /// Leases bytes. Without room, cuts the slowest callers of the class; their bytes are returned shortly afterwards.
    ///
    /// # Errors
    /// [`NoRoom`] if there is no room now.
    pub fn lease(self: &Arc<Self>, holder: &Holder, bytes: usize) -> Result<BodyLease, NoRoom> {
        let mut state = self.state();
        let leased = state
            .budget
            .lease(holder.class, &holder.organisation, bytes);
        if leased.is_err() {
            self.cut_slowest(&mut state, holder, bytes);
        }
        let key = leased?;
        state.holders.insert(key, holder.clone());
        Ok(BodyLease {
            buffers: Arc::clone(self),
            key,
            holder: holder.clone(),
        })
    }

    /// Leases bytes, and waits for room up to `patience`.
    ///
    /// # Errors
    /// The time after which there will be room, if that is longer than the request may wait.
    pub async fn lease_within(
        self: &Arc<Self>,
        holder: &Holder,
        bytes: usize,
        patience: Duration,
    ) -> Result<BodyLease, Duration> {
        if let Ok(lease) = self.lease(holder, bytes) {
            return Ok(lease);
        }
        if self.forecast(holder, bytes) <= patience {
            let waiting = Waiting::begin(self, holder.class, bytes);
            let leased = timeout(patience, self.wait_for_room(holder, bytes)).await;
            drop(waiting);
            if let Ok(lease) = leased {
                return Ok(lease);
            }
        }
        self.state().budget.record_refusal(holder.class);
        Err(self.forecast(holder, bytes))
    }

    /// Returns when there will be room, from now.
    #[must_use]
    pub fn forecast(&self, holder: &Holder, bytes: usize) -> Duration {
        let (class, organisation) = (holder.class, &holder.organisation);
        let now = self.clock.now();
        self.state()
            .budget
            .forecast(class, organisation, bytes, now)
    }

    /// Leases the expected size of a response, and waits for room up to `patience`.
    ///
    /// # Errors
    /// See [`Self::lease_within`].
    pub async fn lease_response(
        self: &Arc<Self>,
        holder: &Holder,
        patience: Duration,
    ) -> Result<BodyLease, Duration> {
        let expected = self.state().budget.expected_response(&holder.organisation);
        self.lease_within(holder, expected, patience).await
    }

    async fn wait_for_room(self: &Arc<Self>, holder: &Holder, bytes: usize) -> BodyLease {
        let returned = &self.returned[holder.class as usize];
        loop {
            // Callers also stall without any lease being returned.
            let woken = timeout(ROOM_CHECK, returned.notified()).await.is_ok();
            if let Ok(lease) = self.lease(holder, bytes) {
                if woken {
                    // There may be room for the next one, too.
                    returned.notify_one();
                }
                return lease;
            }
        }
    }

    fn cut_slowest(&self, state: &mut State, holder: &Holder, bytes: usize) {
        let (class, organisation) = (holder.class, &holder.organisation);
        let now = self.clock.now();
        let next_cut = &mut state.next_cut[class as usize];
        if now < *next_cut {
            return;
        }
        *next_cut = now + CUT_INTERVAL;
        for key in state.budget.cut_slowest(class, organisation, bytes, now) {
            let Some(slow) = state.holders.remove(key) else {
                continue;
            };
            let (class, slow_organisation) = (class.name(), &*slow.organisation);
            let organisation = &**organisation;
            spdlog::warn!("cutting a slow caller to make room", kv: { class, slow_organisation, needed = bytes, organisation });
            slow.cut.notify_one();
        }
    }
}

/// Counts bytes as awaited until it is dropped.
struct Waiting<'b> {
    buffers: &'b Buffers,
    class: BufferClass,
    bytes: usize,
}

impl<'b> Waiting<'b> {
    fn begin(buffers: &'b Buffers, class: BufferClass, bytes: usize) -> Self {
        buffers.state().budget.set_waiting(class, bytes, true);
        Self {
            buffers,
            class,
            bytes,
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.buffers.state();
        state.budget.set_waiting(self.class, self.bytes, false);
    }
}

impl BodyLease {
    /// Extends the lease to this many bytes, and returns whether there was room.
    #[must_use]
    pub fn extend(&self, bytes: usize) -> bool {
        let mut state = self.buffers.state();
        let extended = state.budget.extend(self.key, bytes).is_ok();
        if !extended {
            self.buffers.cut_slowest(&mut state, &self.holder, bytes);
        }
        extended
    }

    /// Records the size of a whole response, and returns what the lease has beyond it.
    pub fn fit_response(&self, bytes: usize) {
        let now = self.buffers.clock.now();
        let mut state = self.buffers.state();
        state.budget.shrink(self.key, bytes, now);
        let organisation = &self.holder.organisation;
        state.budget.record_response(organisation, bytes);
        drop(state);
        self.buffers.returned[self.holder.class as usize].notify_one();
    }

    /// Records that a response is too large for its lease, which has room for this many bytes.
    pub fn outgrow(&self, bytes: usize) {
        let mut state = self.buffers.state();
        let organisation = &self.holder.organisation;
        state.budget.record_response(organisation, bytes);
    }

    /// Records that the caller made progress, and owes more from now.
    pub fn await_caller(&self) {
        let now = self.buffers.clock.now();
        self.buffers.state().budget.await_caller(self.key, now);
    }

    /// Records that the body no longer waits for its caller.
    pub fn await_target(&self) {
        self.buffers.state().budget.await_target(self.key);
    }

    fn is_stalled(&self) -> bool {
        let now = self.buffers.clock.now();
        self.buffers.state().budget.is_stalled(self.key, now)
    }

    /// Returns what the body is held for.
    #[must_use]
    pub fn class(&self) -> BufferClass {
        self.holder.class
    }

    /// Returns what is notified if the caller is cut.
    #[must_use]
    pub fn cut(&self) -> Cut {
        Arc::clone(&self.holder.cut)
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        let now = self.buffers.clock.now();
        let mut state = self.buffers.state();
        state.budget.release(self.key, now);
        state.holders.remove(self.key);
        drop(state);
        self.buffers.returned[self.holder.class as usize].notify_one();
    }
}

/// Bytes that hold their lease as long as any part of them is referenced.
struct LeasedBytes {
    bytes: Bytes,
    _lease: Arc<BodyLease>,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the same bytes; the lease ends with the last reference to them.
pub(super) fn leased_bytes(bytes: Bytes, lease: Arc<BodyLease>) -> Bytes {
    Bytes::from_owner(LeasedBytes {
        bytes,
        _lease: lease,
    })
}

/// Returns a body of these bytes, whose lease ends once the caller's connection has written them.
pub(super) fn held_content(bytes: Bytes, lease: BodyLease) -> Body {
    let lease = Arc::new(lease);
    let content = Slices(leased_bytes(bytes, Arc::clone(&lease)));
    box_body(HeldBody::new(box_body(content), lease))
}

/// Returns a body that holds a lease until it ends. Since it occupies its target meanwhile, the caller is cut as soon as it
/// makes no progress for a while.
pub(super) fn held_stream(body: Body, lease: BodyLease) -> Body {
    let lease = Arc::new(lease);
    let watch = tokio::spawn(cut_when_stalled(Arc::downgrade(&lease)));
    let body = TrackedBody::new(body, Box::new(move |_| watch.abort()));
    box_body(HeldBody::new(box_body(body), lease))
}

/// Cuts the caller of a body when it stalls, until the lease ends.
async fn cut_when_stalled(lease: Weak<BodyLease>) {
    while let Some(lease) = lease.upgrade() {
        if lease.is_stalled() {
            let organisation = &*lease.holder.organisation;
            spdlog::warn!("cutting a slow reader whose response occupies a target", kv: { organisation });
            lease.holder.cut.notify_one();
            return;
        }
        drop(lease);
        sleep(STALL_CHECK).await;
    }
}

/// A body that waits for its caller, with the lease of its bytes.
struct HeldBody {
    inner: Body,
    lease: Arc<BodyLease>,
}

impl HeldBody {
    fn new(inner: Body, lease: Arc<BodyLease>) -> Self {
        lease.await_caller();
        Self { inner, lease }
    }
}

impl HttpBody for HeldBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        // While it waits for the target, the caller can't make progress.
        self.lease.await_target();
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        self.lease.await_caller();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that yields its bytes in parts, so that a connection asks for each when it has written most of the others.
struct Slices(Bytes);

impl HttpBody for Slices {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.0.len().min(SLICE);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
