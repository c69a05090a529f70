//! The guard: the only node that talks to its targets, and so the place where it is decided, at the
//! moment a request would start, whether it may.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, Version, header,
};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    config::Organisation,
    fleet::{Body, box_body},
    node::Core,
    policy::{
        attempt::{AttemptId, Ledger, Refusal, Resolution},
        eject::Others,
        limit::Taken,
        outlook::Class,
    },
    proxy::{
        Code, Dialect, Outcome, RequestName,
        admission::{AdmissionRequest, Permit},
        answer::refuse,
        attempt::{ATTEMPT_HEADER, Attempt},
        exchange::Exchange,
        job::whole_millis,
        target_state::FailureTest,
        tracked_body::{BodyEnd, TrackedBody},
    },
};

/// Tells the entry what an answer is.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("mjd-verdict");

/// Tells the entry how many requests run or wait at the target.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("mjd-load");

/// How often admission is asked for again because its term lapsed on the way.
const MAX_RATE_ADMISSIONS: usize = 3;

/// A request is not started with less time left than this.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

value! {
    /// What an answer from a guard is.
    pub enum Verdict {
        /// A true refusal: the attempt has not run and never will.
        Refused,
        /// The target's answer.
        Answer,
        /// The exchange with the target broke after it had started.
        Broken,
    }
}

impl Verdict {
    /// Returns the header's value.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Answer => "answer",
            Self::Broken => "broken",
        }
    }
}

/// The guard's ledger.
#[derive(Default)]
pub struct Egress {
    ledger: Mutex<Ledger>,
}

/// An attempt in the ledger; dropping it ends it there.
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

type Rejection = (Code, Option<Duration>);

impl Egress {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Settles what became of an attempt.
    pub fn resolve(&self, id: AttemptId, now: Instant) -> Resolution {
        self.ledger().resolve(id, now)
    }

    /// Drops attempts that ended long ago.
    pub fn sweep(&self, now: Instant) {
        self.ledger().sweep(now);
    }

    /// Returns how many attempts are remembered.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.ledger().len()
    }

    /// Serves one attempt.
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
            Err((code, due)) => with_verdict(refuse(code, Outcome::NotRun, due), Verdict::Refused),
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
        if attempt.guard != core.incarnation {
            return Err((Code::OtherIncarnation, None));
        }
        let ledger_entry = self.begin_attempt(core, attempt.id)?;
        let deadline = arrived + attempt.left;
        let organisation = check_conditions(core, &attempt, arrived)?;
        let rate_limited = organisation.as_deref().filter(|_| core.feed.is_none());
        if let Some(organisation) = rate_limited
            && let Some(refusal) = core.rates.spent(&organisation.name, arrived)
        {
            return Err(refusal);
        }
        let permit = admit(core, &attempt, organisation.as_deref(), deadline, arrived).await?;
        let reuse = attempt.idempotent;
        let exchange = Exchange::open(&permit.address, &permit.pool, reuse, core.clock.now())
            .await
            .map_err(|error| {
                let request = attempt.request.as_str();
                let error = error.to_string();
                spdlog::warn!("target unreachable", kv: { request, target = permit.address.as_str(), error });
                let test = failure_test(core, &attempt);
                core.admission
                    .begin_exchange(&permit, test, attempt.repeat, core.clock.now());
                record_result(core, &attempt, &permit, Taken::Unreachable);
                (Code::TargetUnreachable, None)
            })?;
        self.start_attempt(core, &attempt, rate_limited, deadline)
            .await?;
        let request = prepare_request(core, request, &attempt, &permit.address, deadline);
        Ok(forward(ledger_entry, attempt, permit, exchange, request, deadline).await)
    }

    fn begin_attempt(&self, core: &Arc<Core>, id: AttemptId) -> Result<LedgerEntry, Rejection> {
        match self.ledger().begin(id) {
            Ok(()) => Ok(LedgerEntry {
                core: Arc::clone(core),
                id,
            }),
            Err(Refusal::Barred) => Err((Code::Barred, None)),
            // Another copy may have run, so this is no proof of anything.
            Err(Refusal::Repeated | Refusal::TooOld) => Err((Code::AnswerLost, None)),
        }
    }

    /// Makes all decisions again at the moment of the start, and marks the attempt as started.
    async fn start_attempt(
        &self,
        core: &Arc<Core>,
        attempt: &Attempt,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        for _ in 0..MAX_RATE_ADMISSIONS {
            let until = match organisation {
                Some(organisation) => Some(core.rates.admit(core, organisation).await?),
                None => None,
            };
            let now = core.clock.now();
            if now + MIN_TIME_LEFT >= deadline {
                return Err((Code::Timeout, None));
            }
            check_conditions(core, attempt, now)?;
            if until.is_some_and(|until| now >= until) {
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

/// Checks what may change at any moment: freshness, drains and keys.
///
/// Where the configuration comes from a linearizable feed, the entry's own check bounds the age of
/// its word when the caller sent the request, so that keys are not looked at again here; see
/// [docs/PLATFORM.md](../../docs/PLATFORM.md#freshness).
fn check_conditions(
    core: &Core,
    attempt: &Attempt,
    now: Instant,
) -> Result<Option<Arc<Organisation>>, Rejection> {
    if core.feed.is_none() && !core.fresh(now) {
        return Err((Code::NotFresh, None));
    }
    // The view is read after the freshness, so that it is no older than the generation that was fresh.
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
    if core.feed.is_none() && !view.index.holds(name, key) {
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
    let connections = service.map_or(1, |s| s.connections);
    let admission_request = AdmissionRequest {
        target: &attempt.target,
        service: &attempt.service,
        rank: attempt.rank,
        organisation: organisation.map_or("", |o| o.name.as_str()),
        weight: organisation.map_or(1, |o| o.weight),
        deadline: deadline.min(now + attempt.wait),
        queue_limit: queue_limit as usize,
        connections: connections as usize,
        cold_rate: service.map_or(0.0, |s| s.cold_rate),
        // What can't be repeated (again), or holds up a request that waits for it, goes where nothing
        // speaks against the target.
        avoid_suspected: !attempt.idempotent || attempt.repeat || !attempt.rank.outside,
        floor: attempt.floor,
    };
    core.admission
        .admit(&admission_request, now)
        .await
        .map_err(|code| (code, None))
}

/// Writes the request that the target gets.
fn prepare_request(
    core: &Core,
    request: Request<Body>,
    attempt: &Attempt,
    address: &str,
    deadline: Instant,
) -> Request<Body> {
    let header_names = &core.dialect;
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
        .insert(&header_names.left, whole_millis(left).into());
    add_identity_headers(header_names, &mut parts.headers, attempt);
    Request::from_parts(parts, body)
}

/// Tells the target for whom the request runs and which request it is, so that its log can be read.
fn add_identity_headers(header_names: &Dialect, headers: &mut HeaderMap, attempt: &Attempt) {
    if let RequestName::Fleet(name) = &header_names.request
        && let Ok(value) = HeaderValue::from_str(&attempt.id.to_string())
    {
        headers.insert(name, value);
    }
    if let Some(name) = &header_names.addressee
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

/// Returns what the other targets of a service are like.
pub fn other_targets(core: &Core, service: &str, target: &str) -> Others {
    let view = core.view.load();
    let service = view.services.get(service);
    let found = service.and_then(|s| s.other_targets.get(target));
    found.copied().unwrap_or(Others {
        bad: 0.0,
        latency: Duration::ZERO,
    })
}

fn record_result(core: &Core, attempt: &Attempt, permit: &Permit, taken: Taken) {
    let others = other_targets(core, &attempt.service, &attempt.target);
    let now = core.clock.now();
    if core.admission.record_result(permit, taken, others, now) {
        core.ejected(&attempt.target);
    }
}

fn with_verdict(mut response: Response<Body>, verdict: Verdict) -> Response<Body> {
    response
        .headers_mut()
        .insert(VERDICT_HEADER, HeaderValue::from_static(verdict.name()));
    response
}

/// Answers that the exchange with the target broke after it had started.
fn broken_response(code: Code) -> Response<Body> {
    with_verdict(refuse(code, Outcome::Unknown, None), Verdict::Broken)
}

/// Returns the test by which the exchange of an attempt judges its target.
fn failure_test(core: &Core, attempt: &Attempt) -> FailureTest {
    if !attempt.objective.is_zero() {
        return FailureTest::Objective(Class {
            objective: whole_millis(attempt.objective),
            idempotent: attempt.idempotent,
        });
    }
    match core.feed.is_some() {
        true => FailureTest::Off,
        false => FailureTest::Comparison,
    }
}

/// Carries the request to the target and its answer back.
async fn forward(
    ledger_entry: LedgerEntry,
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
    let sent_name = core.dialect.echoed();
    let sent_name = sent_name.and_then(|name| request.headers().get(name).cloned());
    let left = deadline.saturating_duration_since(sent);
    let answer = timeout(left, exchange.send(request)).await;
    let latency = core.clock.now().saturating_duration_since(sent);
    let (response, sender) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            let error = error.to_string();
            log_failure(&attempt, "broke off", latency, &error);
            record_result(&core, &attempt, &permit, Taken::Failed);
            return broken_response(Code::AnswerLost);
        }
        Err(_) => {
            log_failure(&attempt, "no answer in time", latency, "");
            record_result(&core, &attempt, &permit, Taken::Late);
            return broken_response(Code::Timeout);
        }
    };
    let refused = refused_by_target(&core.dialect, &response);
    let returned_name = core
        .dialect
        .echoed()
        .map(|name| response.headers().get(name));
    // A refusal may come without the name of what it refuses.
    if let Some(returned_name) = returned_name
        && returned_name != sent_name.as_ref()
        && !(refused && returned_name.is_none())
    {
        // The connection carries somebody else's answer, and is dropped with it.
        log_failure(&attempt, "answered another request", latency, "");
        record_result(&core, &attempt, &permit, Taken::Failed);
        return broken_response(Code::AnswerLost);
    }
    if refused {
        log_failure(&attempt, "refused", latency, response.status().as_str());
        record_result(&core, &attempt, &permit, Taken::Shed);
        return with_verdict(
            refuse(Code::TargetRefused, Outcome::NotRun, None),
            Verdict::Refused,
        );
    }
    let taken = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Taken::Shed,
        status if status.is_server_error() => Taken::Erred,
        _ => Taken::Good(latency),
    };
    if response.status().is_server_error() {
        log_failure(&attempt, "failed", latency, response.status().as_str());
    }
    let pool = Arc::clone(&permit.pool);
    let reusable = response.version() == Version::HTTP_11 && !closes_connection(&response);
    let on_end = Box::new(move |end: BodyEnd| {
        let core = &ledger_entry.core;
        match end {
            BodyEnd::Complete => {
                if reusable {
                    pool.put(sender, core.clock.now());
                }
                record_result(core, &attempt, &permit, taken);
            }
            BodyEnd::Failed => {
                log_failure(&attempt, "broke off in its answer", latency, "");
                record_result(core, &attempt, &permit, Taken::Failed);
            }
            BodyEnd::Dropped => log_failure(&attempt, "was left by its caller", latency, ""),
        }
        drop(permit);
        drop(ledger_entry);
    });
    let response = response.map(|body| box_body(TrackedBody::new(box_body(body), on_end)));
    with_verdict(response, Verdict::Answer)
}

/// Logs what went wrong in an exchange with a target.
fn log_failure(attempt: &Attempt, what: &str, took: Duration, detail: &str) {
    let request = attempt.request.as_str();
    let target = attempt.target.as_str();
    let took_ms = whole_millis(took);
    spdlog::warn!("target {}", what, kv: { request, target, took_ms, detail });
}

/// Tells whether a target says that it did not run the request. One that is at the address of
/// another target says so by status.
fn refused_by_target(header_names: &Dialect, response: &Response<Incoming>) -> bool {
    let status = response.status();
    let misdirected = header_names.addressee.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
    misdirected
        || (response.headers().contains_key(&header_names.refused)
            && (status.is_server_error() || status.is_client_error()))
}

fn closes_connection(response: &Response<Incoming>) -> bool {
    let connection = response.headers().get(header::CONNECTION);
    let text = connection.and_then(|v| v.to_str().ok()).unwrap_or("");
    text.split(',')
        .any(|t| t.trim().eq_ignore_ascii_case("close"))
}
