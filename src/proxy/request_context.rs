//! The context of one request, which all its attempts share, and the outcome of one attempt.

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
    proxy::{Code, buffers::ReservedRoom},
};

/// The context of one request, which all its attempts share.
#[derive(Clone)]
pub struct RequestContext {
    pub(super) core: Arc<Core>,
    pub(super) matched: RouteMatch,
    /// The organisation and the id of the caller's key, on keyed routes.
    pub(super) caller: Option<(String, String)>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) host: String,
    pub(super) headers: HeaderMap,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    /// The number of the request at this incarnation of the node.
    pub(super) sequence: u64,
    pub(super) idempotent: bool,
    pub(super) body_empty: bool,
    /// The id that the caller gave the request, for logs; empty if none.
    pub(super) request_id: String,
    pub(super) rank: Rank,
    /// Room for the response.
    pub(super) room: ReservedRoom,
}

/// The outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// A target's response that came through another node, and the id of the attempt.
    RemoteResponse(Response<Incoming>, AttemptId),
    /// A target's response that came through the egress role of this node.
    LocalResponse(Response<Body>),
    /// The attempt has not run and never will. The duration, if known, is the time until a retry may succeed.
    Refused(Code, Option<Duration>),
    /// The attempt may have run.
    Unknown(Code),
}

impl AttemptOutcome {
    /// Returns the name of the outcome, for logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::RemoteResponse(..) | Self::LocalResponse(_) => "answer",
            Self::Refused(code, _) | Self::Unknown(code) => code.name(),
        }
    }
}

impl RequestContext {
    /// Returns the time that remains until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.core.clock.now())
    }

    /// Returns whether the deadline has passed.
    pub(super) fn is_expired(&self) -> bool {
        self.remaining().is_zero()
    }

    /// Returns the route's objective for the response time; zero if it has none that is shorter than its
    /// timeout.
    pub(super) fn objective(&self) -> Duration {
        let objective = self.matched.objective();
        match objective < self.matched.timeout() {
            true => objective,
            false => Duration::ZERO,
        }
    }

    /// Returns whether the request may run at a target that is suspected to be failing: it may be repeated, and no
    /// target waits for it.
    pub(super) fn tolerates_suspicion(&self) -> bool {
        self.idempotent && self.rank.external
    }

    /// Returns the part of the objective that remains.
    pub(super) fn objective_left(&self) -> Duration {
        let elapsed = self
            .core
            .clock
            .now()
            .saturating_duration_since(self.started);
        self.objective().saturating_sub(elapsed)
    }

    /// Returns whether a response that breaks may be continued at another target.
    pub(super) fn is_resumable(&self) -> bool {
        self.method == Method::GET && self.body_empty && !self.headers.contains_key(header::RANGE)
    }

    /// Returns a copy with a new deadline and sequence number, for a request that continues the response.
    pub(super) fn renewed(&self) -> Self {
        let core = &self.core;
        Self {
            deadline: core.clock.now() + self.matched.timeout(),
            sequence: core.ingress.sequence.fetch_add(1, Relaxed) + 1,
            ..self.clone()
        }
    }

    /// Builds the HTTP request for one attempt.
    pub(super) fn build_request(&self, headers: &HeaderMap, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers.clone();
        request
    }
}
