//! Bodies on the way: held, so that attempts can be repeated, or passed on once.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::timeout;

use crate::{
    fleet::{Body, BoxError, box_body, empty, full},
    proxy::Code,
};

/// Bodies up to this many bytes are held, so that an attempt can be repeated.
pub const BUFFER_LIMIT: usize = 64 << 10;

/// Answers up to this many bytes are held where a route states an objective: well above the largest
/// documents of the sites, and small beside a node's memory.
pub const RESPONSE_BUFFER_LIMIT: usize = 1 << 20;

/// How long a caller's body may stand still.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request's body: held as a whole, or passed on once.
pub(super) enum Payload {
    Buffered(Bytes),
    Streamed(Option<Body>),
}

impl Payload {
    /// Tells whether the body can be sent again.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for the next attempt, unless it is gone.
    pub(super) fn next(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(empty()),
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Tells whether there is no body at all.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }
}

/// Holds a body that fits, so that attempts can be repeated; a larger one is passed on once.
pub(super) async fn buffer_request(body: Incoming) -> Result<Payload, Code> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let held = collect(box_body(body), BUFFER_LIMIT, Some(BODY_IDLE_TIMEOUT)).await;
    match held.map_err(|_| Code::RequestIncomplete)? {
        Collected::Complete(bytes) => Ok(Payload::Buffered(bytes)),
        Collected::Partial(body) => Ok(Payload::Streamed(Some(body))),
    }
}

/// Holds a target's answer up to a number of bytes, so that one that breaks can be repeated.
pub(super) async fn buffer_response(body: Body, most: usize) -> Result<(Body, bool), BoxError> {
    Ok(match collect(body, most, None).await? {
        Collected::Complete(bytes) => (full(bytes), true),
        Collected::Partial(body) => (body, false),
    })
}

/// What was read of a body.
enum Collected {
    Complete(Bytes),
    /// More than fits: a body with what was read and the rest.
    Partial(Body),
}

async fn collect(
    mut body: Body,
    most: usize,
    pause: Option<Duration>,
) -> Result<Collected, BoxError> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    if body.size_hint().lower() > most as u64 {
        return Ok(Collected::Partial(with_idle_timeout(chunks, body, pause)));
    }
    while size <= most {
        let frame = match pause {
            Some(pause) => timeout(pause, body.frame()).await?,
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
    Ok(Collected::Partial(with_idle_timeout(chunks, body, pause)))
}

/// Streams a body that began with some chunks; one that stands still longer than `pause` breaks.
fn with_idle_timeout(chunks: Vec<Bytes>, body: Body, pause: Option<Duration>) -> Body {
    let started = stream::iter(chunks.into_iter().map(|c| Ok(Frame::data(c))));
    let rest = stream::unfold(Some(BodyStream::new(body)), move |state| async move {
        let mut frames = state?;
        let next = match pause {
            Some(pause) => timeout(pause, frames.next()).await,
            None => Ok(frames.next().await),
        };
        match next {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some(frames))),
            Ok(Some(Err(error))) => Some((Err(error), None)),
            Ok(None) => None,
            Err(late) => Some((Err(BoxError::from(late)), None)),
        }
    });
    box_body(StreamBody::new(started.chain(rest)))
}
