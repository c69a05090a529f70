//! Bodies of requests and responses: buffered so that an attempt can be repeated, or streamed once.

use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    fleet::{Body, BoxError, box_body, empty, full},
    proxy::Code,
};

/// Largest body in bytes, of a request or of most responses, that is buffered so that an attempt can be
/// repeated. [`RESPONSE_BUFFER_LIMIT`] applies to the other responses.
pub const BUFFER_LIMIT: usize = 64 << 10;

/// Largest response body in bytes that is buffered for idempotent requests on routes with an objective. It is
/// well above the largest documents that the sites serve, and small compared to a node's memory.
pub const RESPONSE_BUFFER_LIMIT: usize = 1 << 20;

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
    let collected = collect(box_body(body), BUFFER_LIMIT, Some(BODY_IDLE_TIMEOUT)).await;
    match collected.map_err(|_| Code::RequestIncomplete)? {
        Collected::Complete(bytes) => Ok(Payload::Buffered(bytes)),
        Collected::Partial(body) => Ok(Payload::Streamed(Some(body))),
    }
}

/// Buffers a response body of up to `limit` bytes, so that the attempt can be repeated if the body breaks.
///
/// Returns the body and whether it is buffered whole.
pub(super) async fn buffer_response(body: Body, limit: usize) -> Result<(Body, bool), BoxError> {
    Ok(match collect(body, limit, None).await? {
        Collected::Complete(bytes) => (full(bytes), true),
        Collected::Partial(body) => (body, false),
    })
}

/// A body that was read up to a limit.
enum Collected {
    Complete(Bytes),
    /// The body exceeds the limit. This body yields the bytes that were read, and then the rest.
    Partial(Body),
}

/// Reads a body until it ends or exceeds `limit` bytes. If `idle_timeout` is given, fails if a frame takes
/// longer.
async fn collect(
    mut body: Body,
    limit: usize,
    idle_timeout: Option<Duration>,
) -> Result<Collected, BoxError> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    if body.size_hint().lower() > limit as u64 {
        return Ok(Collected::Partial(with_idle_timeout(
            chunks,
            body,
            idle_timeout,
        )));
    }
    while size <= limit {
        let frame = match idle_timeout {
            Some(idle_timeout) => timeout(idle_timeout, body.frame()).await?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(Collected::Complete(Bytes::from(chunks.concat())));
        };
        if let Ok(data) = frame?.into_data() {
            size += data.len();
            chunks.push(data);
        }
    }
    Ok(Collected::Partial(with_idle_timeout(
        chunks,
        body,
        idle_timeout,
    )))
}

/// Returns a body that fails if it has not ended after `limit`.
pub(super) fn with_time_limit(body: Body, limit: Duration) -> Body {
    let deadline = Instant::now() + limit;
    box_body(StreamBody::new(frames_in_time(body, move || {
        Some(deadline)
    })))
}

/// Returns a body that yields the chunks and then the rest of `body`. If `idle_timeout` is given, it fails if a
/// frame takes longer.
fn with_idle_timeout(chunks: Vec<Bytes>, body: Body, idle_timeout: Option<Duration>) -> Body {
    let buffered = stream::iter(chunks.into_iter().map(|c| Ok(Frame::data(c))));
    let rest = frames_in_time(body, move || idle_timeout.map(|t| Instant::now() + t));
    box_body(StreamBody::new(buffered.chain(rest)))
}

/// Yields the frames of a body. Fails if one has not arrived at its deadline, which `next_deadline` returns when the
/// wait for it begins.
fn frames_in_time(
    body: Body,
    next_deadline: impl Fn() -> Option<Instant>,
) -> impl Stream<Item = Result<Frame<Bytes>, BoxError>> {
    stream::unfold(Some(BodyStream::new(body)), move |state| {
        let deadline = next_deadline();
        async move {
            let mut frames = state?;
            let next = match deadline {
                Some(deadline) => timeout_at(deadline, frames.next()).await,
                None => Ok(frames.next().await),
            };
            match next {
                Ok(Some(Ok(frame))) => Some((Ok(frame), Some(frames))),
                Ok(Some(Err(error))) => Some((Err(error), None)),
                Ok(None) => None,
                Err(elapsed) => Some((Err(BoxError::from(elapsed)), None)),
            }
        }
    })
}
