//! The egress node of a target: the only node that sends requests to it.
//!
//! It therefore makes the final decision whether a request may start, immediately before it does.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, Version, header,
};
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{
    clock::whole_millis,
    config::Organisation,
    fleet::{Body, SMALL_WINDOW, box_body},
    node::Core,
    policy::{
        attempt::{AttemptId, Ledger, Refusal, Resolution},
        eject::OtherTargets,
        limit::{ExchangeResult, TargetLimits},
        load_bytes::LoadBytes,
        pace::Answer,
        suspicion::LatencyClass,
    },
    proxy::{
        Code, HeaderNames, Outcome, RequestIdHeader,
        admission::{AdmissionRequest, Permit},
        attempt::{ATTEMPT_HEADER, Attempt},
        buffers::Holder,
        error_response::error_response,
        exchange::{Connection, Exchange},
        statements::apply_statements,
        target_state::FailureTest,
        tracked_body::{BodyEnd, TrackedBody},
    },
};

/// Carries the [`Verdict`] on a response to the ingress node.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("mjd-verdict");

/// Carries the number of requests that run or wait at the target to the ingress node.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("mjd-load");

/// Maximum number of admissions that one attempt obtains from the rate limiter, since each may expire before
/// the request starts.
const MAX_RATE_ADMISSIONS: usize = 3;

/// Requests beyond its limit that a target may run, if they have lost a slot elsewhere.
const EXTRA_SLOTS: usize = 1;

/// Minimum time that must remain until the deadline when a request is started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

value! {
    /// Classification of a response from an egress node.
    pub enum Verdict {
        /// The attempt was refused: it has not run and never will.
        Refused,
        /// The response is the target's own.
        Answer,
        /// The exchange with the target failed after the request may have been sent.
        Broken,
    }
}

impl Verdict {
    /// Returns the value of [`VERDICT_HEADER`].
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Answer => "answer",
            Self::Broken => "broken",
        }
    }
}

/// Runs attempts at the targets of this VM and records them in a ledger.
#[derive(Default)]
pub struct Egress {
    ledger: Mutex<Ledger>,
    /// Bytes of the requests that run at targets, by target.
    loads: Mutex<HashMap<String, LoadBytes>>,
}

/// The bytes of a request that runs at a target; dropping it marks the request as ended.
struct TargetLoad {
    core: Arc<Core>,
    target: String,
    bytes: usize,
    /// Whether the target returned a complete response, or the connection broke; `None` if neither is known.
    borne: Option<bool>,
}

impl Drop for TargetLoad {
    fn drop(&mut self) {
        let loads = self.core.egress.loads.lock();
        let mut loads = loads.unwrap_or_else(PoisonError::into_inner);
        if let Some(load) = loads.get_mut(&self.target) {
            load.end(self.bytes, self.borne);
        }
    }
}

/// An attempt recorded in the ledger; dropping it marks the attempt as ended.
struct LedgerEntry {
    core: Arc<Core>,
    id: AttemptId,
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        self.core.egress.ledger().end(self.id, now);
    }
}

/// The code of a refusal and, if known, the time until a retry may succeed.
type Rejection = (Code, Option<Duration>);

impl Egress {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the outcome of an attempt; one that has not started is prevented from starting.
    pub fn resolve(&self, id: AttemptId, now: Instant) -> Resolution {
        self.ledger().resolve(id, now)
    }

    /// Removes attempts that ended long ago from the ledger.
    pub fn sweep(&self, now: Instant) {
        self.ledger().sweep(now);
    }

    /// Returns the number of attempts in the ledger.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.ledger().len()
    }

    /// Runs one attempt and returns its response, with headers for the ingress node.
    pub async fn serve(
        &self,
        core: &Arc<Core>,
        attempt: Attempt,
        request: Request<Body>,
    ) -> Response<Body> {
        let target = attempt.target.clone();
        let id = attempt.id;
        let mut response = match self.run_attempt(core, attempt, request).await {
            Ok(response) => response,
            Err((Code::AnswerLost, _)) => broken_response(Code::AnswerLost),
            Err((code, retry)) => with_verdict(
                error_response(code, Outcome::NotRun, retry),
                Verdict::Refused,
            ),
        };
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(ATTEMPT_HEADER, value);
        }
        headers.insert(LOAD_HEADER, core.admission.load(&target).into());
        response
    }

    async fn run_attempt(
        &self,
        core: &Arc<Core>,
        attempt: Attempt,
        request: Request<Body>,
    ) -> Result<Response<Body>, Rejection> {
        let arrived = core.clock.now();
        if attempt.egress != core.incarnation {
            return Err((Code::OtherIncarnation, None));
        }
        let ledger_entry = self.begin_attempt(core, attempt.id)?;
        let deadline = arrived + attempt.remaining;
        let organisation = check_conditions(core, &attempt, arrived)?;
        // Where the configuration comes from a feed, ingress nodes enforce quotas, and egress nodes no rates.
        let limited_organisation = organisation.as_deref().filter(|_| core.feed.is_none());
        if let Some(organisation) = limited_organisation
            && let Some(refusal) = core.rates.recent_refusal(&organisation.name, arrived)
        {
            return Err(refusal);
        }
        let centre = core.settings.data_centre.as_str();
        if core
            .crossing
            .refuses_guest(&core.view.load(), centre, &attempt, arrived)
        {
            return Err((Code::Busy, None));
        }
        let request = lease_body(core, &attempt, organisation.as_deref(), request)?;
        let permit = admit(core, &attempt, organisation.as_deref(), deadline, arrived).await?;
        let load = self.begin_load(core, &attempt, &request)?;
        let reuse = attempt.idempotent;
        let exchange = Exchange::open(&permit.address, &permit.pool, reuse, &*core.clock)
            .await
            .map_err(|error| {
                let request = attempt.request_id.as_str();
                let error = error.to_string();
                spdlog::warn!("failed to connect to target", kv: { request, target = permit.address.as_str(), error });
                let test = failure_test(core, &attempt);
                core.admission
                    .begin_exchange(&permit, test, attempt.repeat, core.clock.now());
                record_result(core, &attempt, &permit, ExchangeResult::Unreachable);
                (Code::TargetUnreachable, None)
            })?;
        self.start_attempt(core, &attempt, limited_organisation, deadline)
            .await?;
        let request = prepare_request(core, request, &attempt, &permit.address, deadline);
        let running = (ledger_entry, load);
        Ok(forward(running, attempt, permit, exchange, request, deadline).await)
    }

    /// Counts the bytes of a request as running at its target, if the node's memory is bounded.
    fn begin_load(
        &self,
        core: &Arc<Core>,
        attempt: &Attempt,
        request: &Request<Body>,
    ) -> Result<Option<TargetLoad>, Rejection> {
        let size = request.body().size_hint().lower();
        if core.buffers.is_none() || size == 0 {
            return Ok(None);
        }
        let bytes = usize::try_from(size).unwrap_or(usize::MAX);
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let load = loads.entry(attempt.target.clone()).or_default();
        if !load.try_start(bytes) {
            let (request, target) = (attempt.request_id.as_str(), attempt.target.as_str());
            let (running, limit) = (load.running(), load.limit());
            spdlog::info!("target holds as many bytes as it is known to bear", kv: { request, target, bytes, running, limit });
            return Err((Code::Busy, None));
        }
        Ok(Some(TargetLoad {
            core: Arc::clone(core),
            target: attempt.target.clone(),
            bytes,
            borne: None,
        }))
    }

    fn begin_attempt(&self, core: &Arc<Core>, id: AttemptId) -> Result<LedgerEntry, Rejection> {
        match self.ledger().register(id) {
            Ok(()) => Ok(LedgerEntry {
                core: Arc::clone(core),
                id,
            }),
            Err(Refusal::Barred) => Err((Code::Barred, None)),
            // Another copy of this attempt may have run, so "not run" can't be claimed.
            Err(Refusal::Repeated | Refusal::TooOld) => Err((Code::AnswerLost, None)),
        }
    }

    /// Repeats all checks immediately before the start, and marks the attempt as started. If `organisation`
    /// is given, the request is also admitted by its rate.
    async fn start_attempt(
        &self,
        core: &Arc<Core>,
        attempt: &Attempt,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        for _ in 0..MAX_RATE_ADMISSIONS {
            let valid_until = match organisation {
                Some(organisation) => Some(core.rates.admit(core, organisation).await?),
                None => None,
            };
            let now = core.clock.now();
            if now + MIN_TIME_LEFT >= deadline {
                return Err((Code::Timeout, None));
            }
            check_conditions(core, attempt, now)?;
            if valid_until.is_some_and(|until| now >= until) {
                continue;
            }
            if !self.ledger().start(attempt.id) {
                return Err((Code::Barred, None));
            }
            return Ok(());
        }
        Err((Code::RateUnreachable, None))
    }
}

/// Checks the conditions that may change at any moment (freshness, drains, services and keys), and returns the
/// caller's organisation.
///
/// Where the configuration comes from a linearizable feed, the check of the ingress node bounds the
/// age of the configuration at the time the caller sent the request. Freshness and keys are not
/// checked again here then; see [docs/PLATFORM.md](../../docs/PLATFORM.md#freshness).
fn check_conditions(
    core: &Core,
    attempt: &Attempt,
    now: Instant,
) -> Result<Option<Arc<Organisation>>, Rejection> {
    if core.feed.is_none() && !core.is_fresh(now) {
        return Err((Code::NotFresh, None));
    }
    // The view is loaded after the freshness check, so that it is at least as new as the generation
    // that was found fresh.
    let view = core.view.load();
    if view.drained {
        return Err((Code::Drained, None));
    }
    if view.index.service(&attempt.service).is_none() {
        return Err((Code::NoTarget, None));
    }
    let Some((name, key)) = &attempt.caller else {
        return Ok(None);
    };
    if core.feed.is_none() && !view.index.has_key(name, key) {
        return Err((Code::WrongKey, None));
    }
    Ok(view.index.organisation(name).cloned())
}

async fn admit(
    core: &Core,
    attempt: &Attempt,
    organisation: Option<&Organisation>,
    deadline: Instant,
    now: Instant,
) -> Result<Permit, Rejection> {
    let view = core.view.load_full();
    let service = view.index.service(&attempt.service);
    let queue_limit = service.map_or(0, |s| s.queue);
    let admission_request = AdmissionRequest {
        target: &attempt.target,
        service: &attempt.service,
        rank: attempt.rank,
        organisation: organisation.map_or("", |o| o.name.as_str()),
        weight: organisation.map_or(1, |o| o.weight),
        deadline: deadline.min(now + attempt.wait),
        objective: objective_class(attempt).map(|class| (class, now + attempt.objective_left)),
        queue_limit: queue_limit as usize,
        limits: service.map_or_else(TargetLimits::default, |s| s.target_limits()),
        // Suspected targets are avoided by requests that can't be repeated, by repeats, and by calls that
        // another request waits for.
        avoid_suspected: !attempt.idempotent || attempt.repeat || !attempt.rank.external,
        repeatable: attempt.idempotent && !attempt.repeat,
        floor: attempt.floor,
        extra_slots: extra_slots(attempt),
    };
    let admitted = core.admission.admit(&admission_request, now).await;
    admitted.map_err(|code| {
        let forecast = || core.admission.expected_wait(&attempt.target, attempt.rank);
        let wait = (code == Code::Overloaded).then(forecast);
        (code, wait.filter(|w| !w.is_zero()))
    })
}

/// Returns how many slots beyond the limit of its target an attempt may use. One at an interrupted request has lost a slot
/// because a node ended; only such a request precedes others although a caller sent it.
fn extra_slots(attempt: &Attempt) -> usize {
    let interrupted = attempt.caller.is_some() && !attempt.rank.external;
    if interrupted { EXTRA_SLOTS } else { 0 }
}

/// Leases what this node may have to hold of a body from another node, if its memory is bounded. The lease ends with the
/// body.
fn lease_body(
    core: &Core,
    attempt: &Attempt,
    organisation: Option<&Organisation>,
    request: Request<Body>,
) -> Result<Request<Body>, Rejection> {
    let size = request.body().size_hint().upper();
    // A body of this node's own caller has its lease already.
    let is_own = attempt.id.ingress == core.incarnation;
    let Some(buffers) = core.buffers.as_ref().filter(|_| !is_own && size != Some(0)) else {
        return Ok(request);
    };
    let held = size.map_or(u64::from(SMALL_WINDOW), |s| s.min(SMALL_WINDOW.into()));
    let bytes = usize::try_from(held).unwrap_or(usize::MAX);
    let holder = Holder::of_request(organisation.map_or("", |o| o.name.as_str()));
    let Ok(lease) = buffers.lease(&holder, bytes) else {
        let request = attempt.request_id.as_str();
        let organisation = &*holder.organisation;
        spdlog::info!("attempt refused: no room for its body", kv: { request, organisation, bytes });
        let forecast = buffers.forecast(&holder, bytes);
        return Err((Code::NoRoom, Some(forecast)));
    };
    Ok(request.map(|body| box_body(TrackedBody::new(body, Box::new(move |_| drop(lease))))))
}

/// Builds the request that is sent to the target.
fn prepare_request(
    core: &Core,
    request: Request<Body>,
    attempt: &Attempt,
    address: &str,
    deadline: Instant,
) -> Request<Body> {
    let header_names = &core.header_names;
    let (mut parts, body) = request.into_parts();
    parts.version = Version::HTTP_11;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    parts.uri = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let host = HeaderValue::from_str(&attempt.host).or_else(|_| HeaderValue::from_str(address));
    if let Ok(host) = host {
        parts.headers.insert(header::HOST, host);
    }
    let left = deadline.saturating_duration_since(core.clock.now());
    parts
        .headers
        .insert(&header_names.remaining, whole_millis(left).into());
    add_identity_headers(header_names, &mut parts.headers, attempt);
    Request::from_parts(parts, body)
}

/// Adds headers that name the organisation, the target and the request, so that the target's log
/// can be matched with the fleet's.
fn add_identity_headers(header_names: &HeaderNames, headers: &mut HeaderMap, attempt: &Attempt) {
    if let RequestIdHeader::Generated(name) = &header_names.request_id
        && let Ok(value) = HeaderValue::from_str(&attempt.id.to_string())
    {
        headers.insert(name, value);
    }
    if let Some(name) = &header_names.expected_target
        && let Ok(value) = HeaderValue::from_str(&attempt.target)
    {
        headers.insert(name, value);
    }
    if let Some((organisation, _)) = &attempt.caller
        && let Ok(value) = HeaderValue::from_bytes(organisation.as_bytes())
    {
        headers.insert(&header_names.organisation, value);
    }
}

/// Returns the statistics of a service's targets other than `target`; zeros if there are none.
pub fn other_targets(core: &Core, service: &str, target: &str) -> OtherTargets {
    let view = core.view.load();
    let service = view.services.get(service);
    let found = service.and_then(|s| s.other_targets.get(target));
    found.copied().unwrap_or(OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    })
}

fn record_result(core: &Core, attempt: &Attempt, permit: &Permit, result: ExchangeResult) {
    let others = other_targets(core, &attempt.service, &attempt.target);
    let now = core.clock.now();
    if core.admission.record_result(permit, result, others, now) {
        core.record_ejection(&attempt.target);
    }
}

fn with_verdict(mut response: Response<Body>, verdict: Verdict) -> Response<Body> {
    response
        .headers_mut()
        .insert(VERDICT_HEADER, HeaderValue::from_static(verdict.name()));
    response
}

/// Returns the response for an exchange that failed after it had started.
fn broken_response(code: Code) -> Response<Body> {
    with_verdict(
        error_response(code, Outcome::Unknown, None),
        Verdict::Broken,
    )
}

/// Returns the failure test that the exchange of an attempt contributes to.
fn failure_test(core: &Core, attempt: &Attempt) -> FailureTest {
    match objective_class(attempt) {
        Some(class) => FailureTest::Objective(class),
        None if core.feed.is_some() => FailureTest::Off,
        None => FailureTest::Comparison,
    }
}

/// Returns the latency class of an attempt whose route has an objective.
fn objective_class(attempt: &Attempt) -> Option<LatencyClass> {
    (!attempt.objective.is_zero()).then(|| LatencyClass {
        objective: whole_millis(attempt.objective),
        idempotent: attempt.idempotent,
    })
}

/// Sends the request to the target and returns its response.
async fn forward(
    (ledger_entry, mut load): (LedgerEntry, Option<TargetLoad>),
    attempt: Attempt,
    permit: Permit,
    exchange: Exchange,
    request: Request<Body>,
    deadline: Instant,
) -> Response<Body> {
    let core = Arc::clone(&ledger_entry.core);
    let sent = core.clock.now();
    core.admission
        .begin_exchange(&permit, failure_test(&core, &attempt), attempt.repeat, sent);
    let id_header = core.header_names.supplied_id();
    let sent_id = id_header.and_then(|name| request.headers().get(name).cloned());
    let left = deadline.saturating_duration_since(sent);
    let reused = exchange.reused;
    let response = timeout(left, exchange.send(request)).await;
    let latency = core.clock.now().saturating_duration_since(sent);
    let (response, connection) = match response {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => {
            let error = error.to_string();
            log_failure(
                &attempt,
                "connection failed before the response head",
                latency,
                &error,
            );
            record_borne(&mut load, false);
            record_result(&core, &attempt, &permit, ExchangeResult::Aborted);
            return broken_response(Code::AnswerLost);
        }
        Err(_) => {
            log_failure(&attempt, "did not respond before the deadline", latency, "");
            record_result(&core, &attempt, &permit, ExchangeResult::TimedOut);
            return broken_response(Code::Timeout);
        }
    };
    let refused = refused_by_target(&core.header_names, &response);
    let returned_id = id_header.and_then(|name| response.headers().get(name));
    let belongs = match returned_id {
        // A refusal may omit the request's id. On a connection that is used again, it may then repeat the
        // refusal of an earlier request, and proves nothing about this one.
        None if refused => !reused,
        _ => returned_id == sent_id.as_ref(),
    };
    if !belongs {
        // The response may belong to another request, so the connection is dropped together with it.
        log_failure(
            &attempt,
            "returned the response to another request",
            latency,
            response.status().as_str(),
        );
        let result = match refused {
            true => ExchangeResult::Shed,
            false => ExchangeResult::Aborted,
        };
        record_result(&core, &attempt, &permit, result);
        return broken_response(Code::AnswerLost);
    }
    if !is_final(response.status()) {
        log_failure(
            &attempt,
            "returned an invalid status",
            latency,
            response.status().as_str(),
        );
        record_borne(&mut load, false);
        record_result(&core, &attempt, &permit, ExchangeResult::Aborted);
        return broken_response(Code::AnswerLost);
    }
    if !is_misdirected(&core.header_names, response.status()) {
        apply_statements(&core, &attempt.target, response.headers(), sent);
        if reused {
            let answer = Answer {
                opened: connection.opened,
                sent,
                latency,
            };
            core.admission.record_answer(&permit, &answer);
        }
    }
    if refused {
        log_failure(
            &attempt,
            "refused the request",
            latency,
            response.status().as_str(),
        );
        record_result(&core, &attempt, &permit, ExchangeResult::Shed);
        return with_verdict(
            error_response(Code::TargetRefused, Outcome::NotRun, None),
            Verdict::Refused,
        );
    }
    let running = (ledger_entry, load);
    relay_response(running, attempt, permit, latency, response, connection)
}

/// Returns the target's response with its verdict. When the body ends, the result of the exchange is
/// recorded, the connection goes back to the pool if it can be reused, and the permit is released.
fn relay_response(
    (ledger_entry, mut load): (LedgerEntry, Option<TargetLoad>),
    attempt: Attempt,
    permit: Permit,
    latency: Duration,
    response: Response<Incoming>,
    connection: Connection,
) -> Response<Body> {
    let result = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => ExchangeResult::Shed,
        status if status.is_server_error() => ExchangeResult::Error,
        _ => ExchangeResult::Good(latency),
    };
    if response.status().is_server_error() {
        log_failure(
            &attempt,
            "returned a server error",
            latency,
            response.status().as_str(),
        );
    }
    let pool = Arc::clone(&permit.pool);
    let reusable = response.version() == Version::HTTP_11 && !closes_connection(&response);
    let on_end = Box::new(move |end: BodyEnd| {
        let core = &ledger_entry.core;
        match end {
            BodyEnd::Complete => {
                record_borne(&mut load, true);
                if reusable {
                    pool.put(connection, core.clock.now());
                }
                record_result(core, &attempt, &permit, result);
            }
            BodyEnd::Failed => {
                record_borne(&mut load, false);
                log_failure(
                    &attempt,
                    "connection failed during the response body",
                    latency,
                    "",
                );
                record_result(core, &attempt, &permit, ExchangeResult::Aborted);
            }
            BodyEnd::Dropped => log_failure(
                &attempt,
                "response was abandoned by the caller",
                latency,
                "",
            ),
        }
        drop(permit);
        drop((ledger_entry, load));
    });
    let response = response.map(|body| box_body(TrackedBody::new(box_body(body), on_end)));
    with_verdict(response, Verdict::Answer)
}

fn record_borne(load: &mut Option<TargetLoad>, borne: bool) {
    if let Some(load) = load {
        load.borne = Some(borne);
    }
}

/// Logs a failed exchange with a target; `failure` follows "target" in the message.
fn log_failure(attempt: &Attempt, failure: &str, took: Duration, detail: &str) {
    let request = attempt.request_id.as_str();
    let target = attempt.target.as_str();
    let took_ms = whole_millis(took);
    spdlog::warn!("target {}", failure, kv: { request, target, took_ms, detail });
}

/// Returns whether a status can be that of a final response. The HTTP library rejects those below 100, and handles
/// interim responses, except for a change of protocol, which no request asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response with this status comes from a target that now has the address of the expected one.
fn is_misdirected(header_names: &HeaderNames, status: StatusCode) -> bool {
    header_names.expected_target.is_some() && status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether the response states that the target did not run the request.
fn refused_by_target(header_names: &HeaderNames, response: &Response<Incoming>) -> bool {
    let status = response.status();
    is_misdirected(header_names, status)
        || (response.headers().contains_key(&header_names.refusal)
            && (status.is_server_error() || status.is_client_error()))
}

fn closes_connection(response: &Response<Incoming>) -> bool {
    let connection = response.headers().get(header::CONNECTION);
    let text = connection.and_then(|v| v.to_str().ok()).unwrap_or("");
    text.split(',')
        .any(|t| t.trim().eq_ignore_ascii_case("close"))
}
