//! Bodies of requests and responses: buffered so that an attempt can be repeated, or streamed once.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout, timeout_at},
};

use crate::{
    fleet::{Body, BoxError, box_body, empty, full},
    policy::buffers::BufferClass,
    proxy::{
        Code, TrackedBody,
        buffers::{BodyLease, Buffers, held_content, held_stream, leased_bytes},
    },
};

/// Largest body in bytes, of a request or of most responses, that is buffered so that an attempt can be
/// repeated. [`RESPONSE_BUFFER_LIMIT`] applies to the other responses.
pub const BUFFER_LIMIT: usize = 64 << 10;

/// Largest response body in bytes that is buffered for idempotent requests on routes with an objective. It is
/// well above the largest documents that the sites serve, and small compared to a node's memory.
pub const RESPONSE_BUFFER_LIMIT: usize = 1 << 20;

/// Most bytes of response bodies that a node buffers at once, a tenth of the memory of the smallest VMs. Bodies beyond
/// are passed on as they arrive.
const BUFFER_BUDGET: usize = 16 << 20;

/// Most bytes of a body that are passed on after its deadline. A caller may read the last ones late.
const LATE_LIMIT: usize = 64 << 10;

/// First part of the lease of a body whose length is unknown, in bytes.
const FIRST_LEASE: usize = 16 << 10;

/// Most bytes of a refused request's body that are discarded so that its connection can be used again, and the longest
/// time that this may take.
const DISCARD_LIMIT: usize = 1 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Divisor of the room for request bodies that gives the largest one that is buffered whole.
const LARGEST_DIVISOR: usize = 8;

/// Unit in which the budget is divided, in bytes.
const BUDGET_UNIT: usize = 1 << 10;

/// Maximum wait for the next frame of a caller's request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request body that is buffered whole, or streamed once.
pub(super) enum Payload {
    Buffered(Bytes),
    Streamed(Option<Body>),
}

impl Payload {
    /// Returns whether the body can be sent again.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the size of a buffered body.
    pub(super) fn buffered_len(&self) -> Option<usize> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len()),
            Self::Streamed(_) => None,
        }
    }

    /// Returns the body for the next attempt; `None` if it was streamed and has been used.
    pub(super) fn next_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(empty()),
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns whether the body is empty.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }
}

/// Buffers a request body of up to [`BUFFER_LIMIT`] bytes; a larger one is streamed.
pub(super) async fn buffer_request(body: Incoming) -> Result<Payload, Code> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let collected = collect(
        box_body(body),
        BUFFER_LIMIT,
        Some(BODY_IDLE_TIMEOUT),
        Reservation::Unlimited,
    );
    match collected.await.map_err(|_| Code::RequestIncomplete)? {
        Collected::Complete(bytes, _) => Ok(Payload::Buffered(bytes)),
        Collected::Partial(body) => Ok(Payload::Streamed(Some(body))),
    }
}

/// A request body of which nothing has been read. If it is dropped, some of it is discarded, so that the connection can be
/// used for further requests.
pub(super) struct UnreadBody(Option<Incoming>);

impl UnreadBody {
    pub(super) fn new(body: Incoming) -> Self {
        Self(Some(body))
    }

    /// Returns how many bytes to lease before the body is read, `None` for a body without content.
    pub(super) fn first_lease(&self, buffers: &Buffers) -> Option<usize> {
        let body = self.0.as_ref().filter(|b| !b.is_end_stream())?;
        let length = body.size_hint().exact();
        let length = length.map_or(FIRST_LEASE, |l| usize::try_from(l).unwrap_or(usize::MAX));
        Some(match length <= largest_request(buffers) {
            true => length,
            false => BUFFER_LIMIT,
        })
    }

    /// Reads the body into its lease. A body that is too large, or outgrows its lease, is streamed.
    ///
    /// # Errors
    /// [`Code::RequestIncomplete`] if it breaks, takes longer than `remaining`, or the caller is cut.
    pub(super) async fn read(
        mut self,
        lease: Option<BodyLease>,
        buffers: &Buffers,
        remaining: Duration,
    ) -> Result<Payload, Code> {
        let (Some(body), Some(lease)) = (self.0.take(), lease) else {
            return Ok(Payload::Buffered(Bytes::new()));
        };
        lease.await_caller();
        let limit = largest_request(buffers);
        let cut = lease.cut();
        let reservation = Reservation::Leased(lease);
        let collected = collect(box_body(body), limit, Some(BODY_IDLE_TIMEOUT), reservation);
        let collected = tokio::select! {
            collected = timeout(remaining, collected) => collected,
            () = cut.notified() => return Err(Code::RequestIncomplete),
        };
        let collected = collected.map_err(|_| Code::RequestIncomplete)?;
        Ok(match collected.map_err(|_| Code::RequestIncomplete)? {
            Collected::Complete(bytes, reservation) => Payload::Buffered(reservation.hold(bytes)),
            Collected::Partial(body) => Payload::Streamed(Some(body)),
        })
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        if let Some(body) = self.0.take().filter(|b| !b.is_end_stream()) {
            tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

/// Reads a body of at most [`DISCARD_LIMIT`] bytes to its end.
async fn discard(mut body: Incoming) {
    let mut left = DISCARD_LIMIT as u64;
    // The connection is closed after the response if the rest is larger, or fails.
    while body.size_hint().lower() <= left
        && let Some(Ok(frame)) = body.frame().await
        && let Some(rest) = left.checked_sub(frame_size(&frame) as u64)
    {
        left = rest;
    }
}

/// Returns the largest request body that is buffered whole.
fn largest_request(buffers: &Buffers) -> usize {
    (buffers.largest(BufferClass::Request) / LARGEST_DIVISOR).min(RESPONSE_BUFFER_LIMIT)
}

/// Where the bytes of a buffered response are accounted for.
pub(super) enum ResponseRoom<'b> {
    Budget(&'b BufferBudget),
    /// The lease that the request got for its response, `None` if there is no room.
    Lease(Option<BodyLease>),
}

/// Buffers a response body of up to `limit` bytes, so that the attempt can be repeated if the body breaks.
///
/// Returns the body and whether it is buffered whole.
pub(super) async fn buffer_response(
    body: Body,
    limit: usize,
    room: ResponseRoom<'_>,
) -> Result<(Body, bool), BoxError> {
    let reservation = match room {
        ResponseRoom::Budget(budget) => Reservation::of(budget),
        ResponseRoom::Lease(Some(lease)) => Reservation::Leased(lease),
        ResponseRoom::Lease(None) => {
            log_full_buffers(0);
            return Ok((body, false));
        }
    };
    Ok(match collect(body, limit, None, reservation).await? {
        Collected::Complete(bytes, reservation) => (reservation.into_body(bytes), true),
        Collected::Partial(body) => (body, false),
    })
}

fn log_full_buffers(buffered: usize) {
    spdlog::warn!("buffers for bodies are full", kv: { buffered });
}

/// Bounds the bytes of response bodies that a node buffers at once.
pub(super) struct BufferBudget(Arc<Semaphore>);

impl Default for BufferBudget {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(BUFFER_BUDGET / BUDGET_UNIT)))
    }
}

/// The part of a budget that one body holds; dropping it returns that part.
enum Reservation {
    /// The body needs no budget.
    Unlimited,
    Budget {
        budget: Arc<Semaphore>,
        held: Option<OwnedSemaphorePermit>,
    },
    Leased(BodyLease),
}

impl Reservation {
    fn of(budget: &BufferBudget) -> Self {
        Self::Budget {
            budget: Arc::clone(&budget.0),
            held: None,
        }
    }

    /// Extends the reservation to this many bytes, and returns whether the budget allows it.
    fn extend_to(&mut self, bytes: usize) -> bool {
        let (budget, held) = match self {
            Self::Unlimited => return true,
            Self::Leased(lease) => return lease.extend(bytes),
            Self::Budget { budget, held } => (budget, held),
        };
        let units = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = bytes.div_ceil(BUDGET_UNIT).saturating_sub(units);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(budget).try_acquire_many_owned(missing) else {
            return false;
        };
        match held {
            Some(held) => held.merge(more),
            held => *held = Some(more),
        }
        true
    }

    /// Records that a caller has sent more of a body.
    fn record_progress(&self) {
        if let Self::Leased(lease) = self
            && lease.class() == BufferClass::Request
        {
            lease.await_caller();
        }
    }

    /// Returns the bytes of a request, which hold the reservation.
    fn hold(self, bytes: Bytes) -> Bytes {
        match self {
            Self::Leased(lease) => {
                lease.await_target();
                leased_bytes(bytes, Arc::new(lease))
            }
            Self::Unlimited | Self::Budget { .. } => bytes,
        }
    }

    /// Returns the body of a response, which holds the reservation.
    fn into_body(self, bytes: Bytes) -> Body {
        match self {
            Self::Leased(lease) => {
                lease.fit_response(bytes.len());
                held_content(bytes, lease)
            }
            reservation => reservation.attach(full(bytes)),
        }
    }

    /// Returns a body that holds the reservation until it has been read or is dropped.
    fn attach(self, body: Body) -> Body {
        match self {
            Self::Budget {
                held: Some(held), ..
            } => box_body(TrackedBody::new(body, Box::new(move |_| drop(held)))),
            Self::Leased(lease) if lease.class() == BufferClass::Response => {
                held_stream(body, lease)
            }
            // A part of this request may have been passed on, so its caller isn't cut.
            Self::Leased(lease) => {
                lease.await_target();
                box_body(TrackedBody::new(body, Box::new(move |_| drop(lease))))
            }
            Self::Unlimited | Self::Budget { held: None, .. } => body,
        }
    }
}

/// A body that was read up to a limit.
enum Collected {
    Complete(Bytes, Reservation),
    /// The body exceeds the limit or the budget. This body yields the bytes that were read, and then the rest.
    Partial(Body),
}

/// Reads a body until it ends, or exceeds `limit` bytes or the budget. If `idle_timeout` is given, fails if a frame
/// takes longer.
///
/// The content is copied, since each frame would occupy more memory than its bytes if a target sent tiny ones.
async fn collect(
    mut body: Body,
    limit: usize,
    idle_timeout: Option<Duration>,
    mut reservation: Reservation,
) -> Result<Collected, BoxError> {
    let mut content = match (&reservation, body.size_hint().exact()) {
        // Growing by doubling would need a lease of more than the body.
        (Reservation::Leased(_), Some(size)) if size <= limit as u64 => {
            BytesMut::with_capacity(usize::try_from(size)?)
        }
        _ => BytesMut::new(),
    };
    let mut fits = body.size_hint().lower() <= limit as u64;
    while fits {
        let frame = match idle_timeout {
            Some(idle_timeout) => timeout(idle_timeout, body.frame()).await?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(Collected::Complete(content.freeze(), reservation));
        };
        if let Ok(data) = frame?.into_data() {
            content.extend_from_slice(&data);
            reservation.record_progress();
            let reserved = reservation.extend_to(content.capacity());
            if !reserved {
                log_full_buffers(content.len());
            }
            fits = reserved && content.len() <= limit;
        }
    }
    let body = with_idle_timeout(content.freeze(), body, idle_timeout);
    Ok(Collected::Partial(reservation.attach(body)))
}

/// Returns a body that fails if it has not ended after `limit`.
pub(super) fn with_time_limit(body: Body, limit: Duration) -> Body {
    let deadline = Instant::now() + limit;
    box_body(StreamBody::new(frames_in_time(body, move || {
        Some(deadline)
    })))
}

/// Returns a body that yields `start` and then the rest of `body`. If `idle_timeout` is given, it fails if a
/// frame takes longer.
fn with_idle_timeout(start: Bytes, body: Body, idle_timeout: Option<Duration>) -> Body {
    let start = (!start.is_empty()).then(|| Ok(Frame::data(start)));
    let buffered = stream::iter(start);
    let rest = frames_in_time(body, move || idle_timeout.map(|t| Instant::now() + t));
    box_body(StreamBody::new(buffered.chain(rest)))
}

/// Yields the frames of a body. Fails if one has not arrived at its deadline, which `next_deadline` returns when the
/// wait for it begins. Frames that are ready then are still yielded, up to [`LATE_LIMIT`] bytes.
fn frames_in_time(
    body: Body,
    next_deadline: impl Fn() -> Option<Instant>,
) -> impl Stream<Item = Result<Frame<Bytes>, BoxError>> {
    stream::unfold(Some((BodyStream::new(body), 0)), move |state| {
        let deadline = next_deadline();
        async move {
            let (mut frames, mut late) = state?;
            match next_in_time(&mut frames, &mut late, deadline).await? {
                Ok(frame) => Some((Ok(frame), Some((frames, late)))),
                Err(error) => Some((Err(error), None)),
            }
        }
    })
}

/// Returns the next frame of a body. Counts the bytes that come after the deadline in `late`.
///
/// A timeout only fires while its future waits, which the frames of a fast and endless body never do.
async fn next_in_time(
    frames: &mut BodyStream<Body>,
    late: &mut usize,
    deadline: Option<Instant>,
) -> Option<Result<Frame<Bytes>, BoxError>> {
    let Some(deadline) = deadline else {
        return frames.next().await;
    };
    let frame = match timeout_at(deadline, frames.next()).await {
        Ok(next) => next?,
        Err(elapsed) => Err(elapsed.into()),
    };
    if Instant::now() >= deadline {
        *late += frame.as_ref().map_or(0, frame_size);
    }
    match *late > LATE_LIMIT {
        true => Some(Err("the body continues after its deadline".into())),
        false => Some(frame),
    }
}

fn frame_size(frame: &Frame<Bytes>) -> usize {
    frame.data_ref().map_or(0, Bytes::len)
}
