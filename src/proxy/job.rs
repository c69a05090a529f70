//! What one request of a caller is, for all its attempts, and what one attempt came to.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, Request, Response, Uri, header};
use hyper::body::Incoming;

use crate::{
    config::RouteMatch,
    fleet::Body,
    node::Core,
    policy::{attempt::AttemptId, queue::Rank},
    proxy::Code,
};

/// What one request is, for all its attempts.
#[derive(Clone)]
pub struct Job {
    pub(super) core: Arc<Core>,
    pub(super) matched: RouteMatch,
    /// The organisation and the id of the key that came, on keyed routes.
    pub(super) caller: Option<(String, String)>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) host: String,
    pub(super) headers: HeaderMap,
    pub(super) begun: Instant,
    pub(super) deadline: Instant,
    pub(super) sequence: u64,
    pub(super) idempotent: bool,
    pub(super) bodyless: bool,
    /// The request's name, for logs.
    pub(super) name: String,
    pub(super) rank: Rank,
}

/// What one attempt came to.
pub(super) enum Tried {
    Answer(Response<Incoming>, AttemptId),
    Local(Response<Body>),
    /// It has not run and never will.
    Refused(Code, Option<Duration>),
    /// It may have run.
    Broken(Code),
}

impl Tried {
    /// Returns what came of the attempt, for logs.
    pub(super) fn result(&self) -> &'static str {
        match self {
            Self::Answer(..) | Self::Local(_) => "answer",
            Self::Refused(code, _) | Self::Broken(code) => code.name(),
        }
    }
}

/// Returns a duration in whole milliseconds, for headers and logs.
pub(super) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Job {
    pub(super) fn left(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.core.clock.now())
    }

    pub(super) fn over(&self) -> bool {
        self.left().is_zero()
    }

    /// Returns the time within which an answer is worth most; zero where the route states none.
    pub(super) fn objective(&self) -> Duration {
        let objective = self.matched.objective();
        match objective < self.matched.timeout() {
            true => objective,
            false => Duration::ZERO,
        }
    }

    /// Tells whether a broken answer to this request may be continued elsewhere.
    pub(super) fn resumable(&self) -> bool {
        self.method == Method::GET && self.bodyless && !self.headers.contains_key(header::RANGE)
    }

    /// Gives the request a new deadline and sequence, to continue its answer.
    pub(super) fn again(&self) -> Self {
        let core = &self.core;
        Self {
            deadline: core.clock.now() + self.matched.timeout(),
            sequence: core.entry.sequence.fetch_add(1, Relaxed) + 1,
            ..self.clone()
        }
    }

    /// Builds the request of one attempt.
    pub(super) fn request(&self, headers: &HeaderMap, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers.clone();
        request
    }
}
