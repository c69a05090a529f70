//! A body that reports how it ended.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::fleet::{Body, BoxError};

value! {
    /// How a body ended.
    pub enum BodyEnd {
        /// It was read to the end.
        Complete,
        /// Reading it failed.
        Failed,
        /// It was dropped before its end.
        Dropped,
    }
}

/// Callback that is called once, when a body ends.
pub type OnEnd = Box<dyn FnOnce(BodyEnd) + Send>;

/// A body that calls `on_end` when it ends.
pub struct TrackedBody {
    inner: Body,
    on_end: Option<OnEnd>,
}

impl TrackedBody {
    /// Wraps a body; `on_end` is called at once if it is already at its end.
    #[must_use]
    pub fn new(inner: Body, on_end: OnEnd) -> Self {
        let mut tracked = Self {
            inner,
            on_end: Some(on_end),
        };
        if tracked.inner.is_end_stream() {
            tracked.end(BodyEnd::Complete);
        }
        tracked
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.end(BodyEnd::Complete),
            Some(Err(_)) => self.end(BodyEnd::Failed),
            Some(Ok(_)) if self.inner.is_end_stream() => self.end(BodyEnd::Complete),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
