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
        eject::OtherTargets,
        limit::ExchangeResult,
        suspicion::LatencyClass,
    },
    proxy::{
        Code, Dialect, Outcome, RequestName,
        answer::refuse,
        attempt::{ATTEMPT_HEADER, Attempt},
        gate::{Permit, Wish},
        guarded::Test,
        job::whole_millis,
        target::Exchange,
        watch::{End, Watched},
    },
};

/// Tells the entry what an answer is.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("mjd-verdict");

/// Tells the entry how many requests run or wait at the target.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("mjd-load");

/// How often admission is asked for again because its term lapsed on the way.
const MOST_ADMISSIONS: usize = 3;

/// A request is not started with less time left than this.
const LEAST_LEFT: Duration = Duration::from_millis(1);

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
pub struct Guard {
    ledger: Mutex<Ledger>,
}

/// An attempt in the ledger; dropping it ends it there.
struct Ticket {
    core: Arc<Core>,
    id: AttemptId,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        self.core.guard.ledger().end(self.id, now);
    }
}

type Refused = (Code, Option<Duration>);

impl Guard {
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
    pub fn remembered(&self) -> usize {
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
        let mut response = match self.run(core, attempt, request).await {
            Ok(response) => response,
            Err((Code::AnswerLost, _)) => broken(Code::AnswerLost),
            Err((code, due)) => mark(refuse(code, Outcome::NotRun, due), Verdict::Refused),
        };
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(ATTEMPT_HEADER, value);
        }
        headers.insert(LOAD_HEADER, core.gate.load(&target).into());
        response
    }

    async fn run(
        &self,
        core: &Arc<Core>,
        attempt: Attempt,
        request: Request<Body>,
    ) -> Result<Response<Body>, Refused> {
        let arrived = core.clock.now();
        if attempt.guard != core.incarnation {
            return Err((Code::OtherIncarnation, None));
        }
        let ticket = self.begin(core, attempt.id)?;
        let deadline = arrived + attempt.left;
        let organisation = check(core, &attempt, arrived)?;
        let limited = organisation.as_deref().filter(|_| core.feed.is_none());
        if let Some(organisation) = limited
            && let Some(refusal) = core.rates.recent_refusal(&organisation.name, arrived)
        {
            return Err(refusal);
        }
        let permit = enter(core, &attempt, organisation.as_deref(), deadline, arrived).await?;
        let reuse = attempt.idempotent;
        let exchange = Exchange::open(&permit.address, &permit.pool, reuse, core.clock.now())
            .await
            .map_err(|error| {
                let request = attempt.request.as_str();
                let error = error.to_string();
                spdlog::warn!("target unreachable", kv: { request, target = permit.address.as_str(), error });
                let test = test_of(core, &attempt);
                core.gate
                    .begin(&permit, test, attempt.repeat, core.clock.now());
                record(core, &attempt, &permit, ExchangeResult::Unreachable);
                (Code::TargetUnreachable, None)
            })?;
        self.start(core, &attempt, limited, deadline).await?;
        let request = prepare(core, request, &attempt, &permit.address, deadline);
        Ok(carry(ticket, attempt, permit, exchange, request, deadline).await)
    }

    fn begin(&self, core: &Arc<Core>, id: AttemptId) -> Result<Ticket, Refused> {
        match self.ledger().register(id) {
            Ok(()) => Ok(Ticket {
                core: Arc::clone(core),
                id,
            }),
            Err(Refusal::Barred) => Err((Code::Barred, None)),
            // Another copy may have run, so this is no proof of anything.
            Err(Refusal::Repeated | Refusal::TooOld) => Err((Code::AnswerLost, None)),
        }
    }

    /// Makes all decisions again at the moment of the start, and marks the attempt as started.
    async fn start(
        &self,
        core: &Arc<Core>,
        attempt: &Attempt,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<(), Refused> {
        for _ in 0..MOST_ADMISSIONS {
            let until = match organisation {
                Some(organisation) => Some(core.rates.admit(core, organisation).await?),
                None => None,
            };
            let now = core.clock.now();
            if now + LEAST_LEFT >= deadline {
                return Err((Code::Timeout, None));
            }
            check(core, attempt, now)?;
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
fn check(
    core: &Core,
    attempt: &Attempt,
    now: Instant,
) -> Result<Option<Arc<Organisation>>, Refused> {
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

async fn enter(
    core: &Core,
    attempt: &Attempt,
    organisation: Option<&Organisation>,
    deadline: Instant,
    now: Instant,
) -> Result<Permit, Refused> {
    let view = core.view.load_full();
    let service = view.index.service(&attempt.service);
    let most = service.map_or(0, |s| s.queue);
    let connections = service.map_or(1, |s| s.connections);
    let wish = Wish {
        target: &attempt.target,
        service: &attempt.service,
        rank: attempt.rank,
        organisation: organisation.map_or("", |o| o.name.as_str()),
        weight: organisation.map_or(1, |o| o.weight),
        deadline: deadline.min(now + attempt.wait),
        most: most as usize,
        connections: connections as usize,
        cold_rate: service.map_or(0.0, |s| s.cold_rate),
        // What can't be repeated (again), or holds up a request that waits for it, goes where nothing
        // speaks against the target.
        careful: !attempt.idempotent || attempt.repeat || !attempt.rank.external,
        floor: attempt.floor,
    };
    core.gate
        .enter(&wish, now)
        .await
        .map_err(|code| (code, None))
}

/// Writes the request that the target gets.
fn prepare(
    core: &Core,
    request: Request<Body>,
    attempt: &Attempt,
    address: &str,
    deadline: Instant,
) -> Request<Body> {
    let dialect = &core.dialect;
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
        .insert(&dialect.left, whole_millis(left).into());
    name_caller(dialect, &mut parts.headers, attempt);
    Request::from_parts(parts, body)
}

/// Tells the target for whom the request runs and which request it is, so that its log can be read.
fn name_caller(dialect: &Dialect, headers: &mut HeaderMap, attempt: &Attempt) {
    if let RequestName::Fleet(name) = &dialect.request
        && let Ok(value) = HeaderValue::from_str(&attempt.id.to_string())
    {
        headers.insert(name, value);
    }
    if let Some(name) = &dialect.addressee
        && let Ok(value) = HeaderValue::from_str(&attempt.target)
    {
        headers.insert(name, value);
    }
    if let Some((organisation, _)) = &attempt.caller
        && let Ok(value) = HeaderValue::from_bytes(organisation.as_bytes())
    {
        headers.insert(&dialect.organisation, value);
    }
}

/// Returns what the other targets of a service are like.
pub fn others_of(core: &Core, service: &str, target: &str) -> OtherTargets {
    let view = core.view.load();
    let service = view.services.get(service);
    let others = service.and_then(|s| s.others.get(target));
    others.copied().unwrap_or(OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    })
}

fn record(core: &Core, attempt: &Attempt, permit: &Permit, taken: ExchangeResult) {
    let others = others_of(core, &attempt.service, &attempt.target);
    let now = core.clock.now();
    if core.gate.record(permit, taken, others, now) {
        core.ejected(&attempt.target);
    }
}

fn mark(mut response: Response<Body>, verdict: Verdict) -> Response<Body> {
    response
        .headers_mut()
        .insert(VERDICT_HEADER, HeaderValue::from_static(verdict.name()));
    response
}

/// Answers that the exchange with the target broke after it had started.
fn broken(code: Code) -> Response<Body> {
    mark(refuse(code, Outcome::Unknown, None), Verdict::Broken)
}

/// Returns the test by which the exchange of an attempt judges its target.
fn test_of(core: &Core, attempt: &Attempt) -> Test {
    if !attempt.objective.is_zero() {
        return Test::Quick(LatencyClass {
            objective: whole_millis(attempt.objective),
            idempotent: attempt.idempotent,
        });
    }
    match core.feed.is_some() {
        true => Test::Nothing,
        false => Test::Slow,
    }
}

/// Carries the request to the target and its answer back.
async fn carry(
    ticket: Ticket,
    attempt: Attempt,
    permit: Permit,
    exchange: Exchange,
    request: Request<Body>,
    deadline: Instant,
) -> Response<Body> {
    let core = Arc::clone(&ticket.core);
    let sent = core.clock.now();
    core.gate
        .begin(&permit, test_of(&core, &attempt), attempt.repeat, sent);
    let named = core.dialect.echoed();
    let named = named.and_then(|name| request.headers().get(name).cloned());
    let left = deadline.saturating_duration_since(sent);
    let answer = timeout(left, exchange.send(request)).await;
    let latency = core.clock.now().saturating_duration_since(sent);
    let (response, sender) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            let error = error.to_string();
            note(&attempt, "broke off", latency, &error);
            record(&core, &attempt, &permit, ExchangeResult::Aborted);
            return broken(Code::AnswerLost);
        }
        Err(_) => {
            note(&attempt, "no answer in time", latency, "");
            record(&core, &attempt, &permit, ExchangeResult::TimedOut);
            return broken(Code::Timeout);
        }
    };
    let refused = refused_by_target(&core.dialect, &response);
    let echo = core
        .dialect
        .echoed()
        .map(|name| response.headers().get(name));
    // A refusal may come without the name of what it refuses.
    if let Some(echo) = echo
        && echo != named.as_ref()
        && !(refused && echo.is_none())
    {
        // The connection carries somebody else's answer, and is dropped with it.
        note(&attempt, "answered another request", latency, "");
        record(&core, &attempt, &permit, ExchangeResult::Aborted);
        return broken(Code::AnswerLost);
    }
    if refused {
        note(&attempt, "refused", latency, response.status().as_str());
        record(&core, &attempt, &permit, ExchangeResult::Shed);
        return mark(
            refuse(Code::TargetRefused, Outcome::NotRun, None),
            Verdict::Refused,
        );
    }
    let taken = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => ExchangeResult::Shed,
        status if status.is_server_error() => ExchangeResult::Error,
        _ => ExchangeResult::Good(latency),
    };
    if response.status().is_server_error() {
        note(&attempt, "failed", latency, response.status().as_str());
    }
    let pool = Arc::clone(&permit.pool);
    let reusable = response.version() == Version::HTTP_11 && !closes(&response);
    let on_end = Box::new(move |end: End| {
        let core = &ticket.core;
        match end {
            End::Whole => {
                if reusable {
                    pool.give(sender, core.clock.now());
                }
                record(core, &attempt, &permit, taken);
            }
            End::Broken => {
                note(&attempt, "broke off in its answer", latency, "");
                record(core, &attempt, &permit, ExchangeResult::Aborted);
            }
            End::Dropped => note(&attempt, "was left by its caller", latency, ""),
        }
        drop(permit);
        drop(ticket);
    });
    let response = response.map(|body| box_body(Watched::new(box_body(body), on_end)));
    mark(response, Verdict::Answer)
}

/// Logs what went wrong in an exchange with a target.
fn note(attempt: &Attempt, what: &str, took: Duration, detail: &str) {
    let request = attempt.request.as_str();
    let target = attempt.target.as_str();
    let took_ms = whole_millis(took);
    spdlog::warn!("target {}", what, kv: { request, target, took_ms, detail });
}

/// Tells whether a target says that it did not run the request. One that is at the address of
/// another target says so by status.
fn refused_by_target(dialect: &Dialect, response: &Response<Incoming>) -> bool {
    let status = response.status();
    let misdirected = dialect.addressee.is_some() && status == StatusCode::MISDIRECTED_REQUEST;
    misdirected
        || (response.headers().contains_key(&dialect.refused)
            && (status.is_server_error() || status.is_client_error()))
}

fn closes(response: &Response<Incoming>) -> bool {
    let connection = response.headers().get(header::CONNECTION);
    let text = connection.and_then(|v| v.to_str().ok()).unwrap_or("");
    text.split(',')
        .any(|t| t.trim().eq_ignore_ascii_case("close"))
}
