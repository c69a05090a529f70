//! What one request of a caller is, for all its attempts, and what one attempt came to.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, Request, Response, Uri, header};
use hyper::body::Incoming;

use crate::{
    config::Matched,
    fleet::Body,
    node::Core,
    policy::{attempt::AttemptId, queue::Rank},
    proxy::Code,
};

/// What one request is, for all its attempts.
#[derive(Clone)]
pub struct RequestContext {
    pub(super) core: Arc<Core>,
    pub(super) matched: Matched,
    /// The organisation and the id of the key that came, on keyed routes.
    pub(super) caller: Option<(String, String)>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) host: String,
    pub(super) headers: HeaderMap,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) sequence: u64,
    pub(super) idempotent: bool,
    pub(super) body_empty: bool,
    /// The request's name, for logs.
    pub(super) request_id: String,
    pub(super) rank: Rank,
}

/// What one attempt came to.
pub(super) enum AttemptOutcome {
    RemoteResponse(Response<Incoming>, AttemptId),
    LocalResponse(Response<Body>),
    /// It has not run and never will.
    Refused(Code, Option<Duration>),
    /// It may have run.
    Unknown(Code),
}

impl AttemptOutcome {
    /// Returns what came of the attempt, for logs.
    pub(super) fn result(&self) -> &'static str {
        match self {
            Self::RemoteResponse(..) | Self::LocalResponse(_) => "answer",
            Self::Refused(code, _) | Self::Unknown(code) => code.name(),
        }
    }
}

/// Returns a duration in whole milliseconds, for headers and logs.
pub(super) fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl RequestContext {
    pub(super) fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.core.clock.now())
    }

    pub(super) fn is_expired(&self) -> bool {
        self.remaining().is_zero()
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
        self.method == Method::GET && self.body_empty && !self.headers.contains_key(header::RANGE)
    }

    /// Gives the request a new deadline and sequence, to continue its answer.
    pub(super) fn renewed(&self) -> Self {
        let core = &self.core;
        Self {
            deadline: core.clock.now() + self.matched.timeout(),
            sequence: core.ingress.sequence.fetch_add(1, Relaxed) + 1,
            ..self.clone()
        }
    }

    /// Builds the request of one attempt.
    pub(super) fn build_request(&self, headers: &HeaderMap, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers.clone();
        request
    }
}
