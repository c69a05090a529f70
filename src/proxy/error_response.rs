//! Responses of the fleet itself, to requests that were refused or got no response from a target.
//!
//! Codes are stable and explained in [docs/OPERATIONS.md](../../docs/OPERATIONS.md#codes).

use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde_json::json;

use crate::{
    board::Doubt,
    fleet::{Body, full},
};

/// The response header that states whether the request has run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("marjoramdyke-outcome");

/// The response header that names the reason of a refusal or error.
pub const CODE_HEADER: HeaderName = HeaderName::from_static("marjoramdyke-code");

value! {
    /// Whether a request has run, as far as it is known.
    pub enum Outcome {
        /// The request has not run and never will.
        NotRun,
        /// The request may have run.
        Unknown,
        /// The request has run, and the response is the target's.
        Ran,
    }

    /// Why a request was refused or failed.
    pub enum Code {
        /// No route matches.
        NoRoute,
        /// The request has no known key.
        WrongKey,
        /// The organisation has used up its rate.
        RateSpent,
        /// No owner of the organisation's rate could be reached.
        RateUnreachable,
        /// The service has no target that accepts requests.
        NoTarget,
        /// The node's configuration may be outdated, so it must not start work.
        NotFresh,
        /// No slot became free in the time that the request may wait for one.
        Overloaded,
        /// A node has no room for the body of the request.
        NoRoom,
        /// The target has no free slot now, or its queue dropped the request.
        Busy,
        /// The node is shutting down.
        Stopping,
        /// The egress node is not the incarnation that the attempt was meant for.
        OtherIncarnation,
        /// The target is suspected to be failing, and the request can't be retried, is a retry or is a call
        /// that a target makes.
        Doubtful,
        /// The target's data centre is drained.
        Drained,
        /// The target is ejected.
        Ejected,
        /// No connection to the target could be made.
        TargetUnreachable,
        /// The target reported that it refused the request without running it.
        TargetRefused,
        /// The attempt was barred or cancelled.
        Barred,
        /// The deadline has passed.
        Timeout,
        /// The response was lost, and the request may have run.
        AnswerLost,
        /// The request is malformed.
        BadRequest,
        /// The caller sent its request too slowly or incompletely.
        RequestIncomplete,
    }
}

impl Outcome {
    /// Returns the value for [`OUTCOME_HEADER`].
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl Code {
    /// Returns the stable name, the value for [`CODE_HEADER`].
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::WrongKey => "wrong-key",
            Self::RateSpent => "rate-spent",
            Self::RateUnreachable => "rate-unreachable",
            Self::NoTarget => "no-target",
            Self::NotFresh => "not-fresh",
            Self::Overloaded => "overloaded",
            Self::NoRoom => "no-room",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::OtherIncarnation => "other-incarnation",
            Self::Doubtful => "doubtful",
            Self::Drained => "drained",
            Self::Ejected => "ejected",
            Self::TargetUnreachable => "target-unreachable",
            Self::TargetRefused => "target-refused",
            Self::Barred => "barred",
            Self::Timeout => "timeout",
            Self::AnswerLost => "answer-lost",
            Self::BadRequest => "bad-request",
            Self::RequestIncomplete => "request-incomplete",
        }
    }

    /// Returns the doubt in the target's health for which an egress node refuses a request with this code.
    #[must_use]
    pub fn doubt(self) -> Option<Doubt> {
        match self {
            Self::Ejected => Some(Doubt::Ejected),
            Self::Doubtful => Some(Doubt::Suspected),
            _ => None,
        }
    }

    /// Returns the code that has a name, or `None` if no code has it.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        ALL_CODES.iter().copied().find(|code| code.name() == name)
    }

    /// Returns the HTTP status of a response with the code.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::WrongKey => StatusCode::UNAUTHORIZED,
            Self::RateSpent => StatusCode::TOO_MANY_REQUESTS,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::RequestIncomplete => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the request may be sent to another target after a refusal with this code.
    #[must_use]
    pub fn allows_other_target(self) -> bool {
        matches!(
            self,
            Self::NotFresh
                | Self::Overloaded
                | Self::NoRoom
                | Self::Busy
                | Self::Stopping
                | Self::OtherIncarnation
                | Self::Doubtful
                | Self::Drained
                | Self::Ejected
                | Self::TargetUnreachable
                | Self::TargetRefused
                | Self::Barred
                | Self::NoTarget
                | Self::RateUnreachable
        )
    }
}

const ALL_CODES: [Code; 21] = [
    Code::NoRoute,
    Code::WrongKey,
    Code::RateSpent,
    Code::RateUnreachable,
    Code::NoTarget,
    Code::NotFresh,
    Code::Overloaded,
    Code::NoRoom,
    Code::Busy,
    Code::Stopping,
    Code::OtherIncarnation,
    Code::Doubtful,
    Code::Drained,
    Code::Ejected,
    Code::TargetUnreachable,
    Code::TargetRefused,
    Code::Barred,
    Code::Timeout,
    Code::AnswerLost,
    Code::BadRequest,
    Code::RequestIncomplete,
];

/// Creates the response for a refused or failed request, with a `Retry-After` in whole seconds (rounded up,
/// at least 1) if `retry_after` is given.
///
/// # Panics
/// Never, since all parts of the response are valid.
#[must_use]
pub fn error_response(
    code: Code,
    outcome: Outcome,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let body = json!({ "code": code.name(), "outcome": outcome.name() });
    let mut response = Response::new(full(body.to_string()));
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(CODE_HEADER, HeaderValue::from_static(code.name()));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs_f64().ceil();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let seconds = seconds as u64;
        headers.insert(header::RETRY_AFTER, seconds.max(1).into());
    }
    response
}
