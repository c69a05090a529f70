//! The ingress role of a node: accepts a caller's request, matches its route, authenticates its key, and
//! reports to the caller whether the request has run.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Request, Response, request::Parts};
use hyper::body::Incoming;
use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    board::View,
    clock::whole_millis,
    config::{Access, Organisation, RouteMatch},
    fleet::Body,
    node::Core,
    policy::{path::PathHealth, queue::Rank},
    proxy::{
        Code, Outcome, Purpose,
        buffers::{BodyLease, Buffers, Cut, Holder, ReservedRoom},
        error_response::{CODE_HEADER, error_response},
        lifecycle::run,
        payload::{BufferBudget, Payload, UnreadBody, buffer_request},
        request_context::RequestContext,
        request_headers::{authenticate, client_timeout, forwarded_headers, requested_host},
        retries::RetryBudgets,
        version_choice::Exposures,
    },
};

/// How long a request waits for its organisation's quota at a node that has just started. The rest of the
/// usual objective of 2 s is enough for the work.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Share of the time until its deadline that a request may wait for room for its body.
const ROOM_WAIT_SHARE: f64 = 0.25;

/// Pause between two draws on the quota: the time in which a quota of ten requests a second grows by one.
const QUOTA_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// State of a node in its ingress role.
#[derive(Default)]
pub struct Ingress {
    /// Sequence number of the last request.
    pub(super) sequence: AtomicU64,
    /// Retry budgets, by service.
    pub retry_budgets: RetryBudgets,
    /// Health of the paths to other nodes, by address.
    pub(super) paths: Mutex<HashMap<Arc<str>, PathHealth>>,
    /// Requests that were exposed to new versions.
    pub(super) exposures: Exposures,
    /// Budget for response bodies that are buffered.
    pub(super) buffers: BufferBudget,
}

/// The organisation that a request is made for, and the id of its key.
type Caller = (Arc<Organisation>, String);

impl Ingress {
    /// Serves one request of a caller and returns the response for it.
    pub async fn serve(&self, core: &Arc<Core>, request: Request<Incoming>) -> Response<Body> {
        let started = core.clock.now();
        let request_id = request_id_of(core, request.headers());
        let accepted = tokio::select! {
            accepted = self.accept(core, request, request_id.clone(), started) => accepted,
            () = core.wait_for_termination() => {
                Err(Box::new(error_response(Code::Stopping, Outcome::NotRun, None)))
            }
        };
        let (context, payload) = match accepted {
            Ok(accepted) => accepted,
            Err(refusal) => return finish_response(core, None, &request_id, *refusal, started),
        };
        let disconnect = DisconnectLogger {
            context: &context,
            disarmed: false,
        };
        let response = run(&context, payload).await;
        disconnect.disarm();
        finish_response(core, Some(&context), &request_id, response, started)
    }

    /// Checks a request's route, key, quota and timeout before any attempt is made. Returns its context and
    /// body, or the response that refuses it.
    async fn accept(
        &self,
        core: &Arc<Core>,
        request: Request<Incoming>,
        request_id: String,
        started: Instant,
    ) -> Result<(RequestContext, Payload), Box<Response<Body>>> {
        let refusal = |code| Box::new(error_response(code, Outcome::NotRun, None));
        let (parts, body) = request.into_parts();
        let host = requested_host(&parts).unwrap_or_default();
        let left = core
            .rejects_requests()
            .map(|until| until.saturating_duration_since(started));
        if left.is_some_and(|left| !is_call_within(core, &host, &parts, left)) {
            return Err(refusal(Code::Stopping));
        }
        let cut = parts.extensions.get::<Cut>().cloned().unwrap_or_default();
        let intake = match &core.buffers {
            Some(buffers) => Intake::Unread(UnreadBody::new(body), buffers),
            None => Intake::Read(buffer_request(body).await.map_err(refusal)?),
        };
        let authorise = || authorise(core, &host, parts.uri.path(), &parts.headers);
        let (matched, caller) = authorise().map_err(refusal)?;
        let requested = client_timeout(&core.header_names, &parts.headers);
        let deadline = started + allowed_time(&matched, requested);
        let organisation = caller.as_ref().map_or("", |(o, _)| o.name.as_str());
        let no_room = |retry_after: Duration| {
            spdlog::info!("request refused: no room for its body or response", kv: { request = request_id.as_str(), organisation, retry_ms = whole_millis(retry_after) });
            error_response(Code::NoRoom, Outcome::NotRun, Some(retry_after))
        };
        let remaining = deadline.saturating_duration_since(core.clock.now());
        let patience = remaining.mul_f64(ROOM_WAIT_SHARE);
        let room = reserve_response(core, organisation, cut, patience);
        let room = room.await.map_err(no_room)?;
        let intake = intake.reserve(organisation, patience).await;
        let intake = intake.map_err(no_room)?;
        if let Some((organisation, _)) = &caller
            && core.feed.is_some()
            && !draw_quota(core, organisation, started).await
        {
            let (request, organisation) = (request_id.as_str(), organisation.name.as_str());
            spdlog::info!("request refused: organisation quota exceeded", kv: { request, organisation });
            return Err(refusal(Code::RateSpent));
        }
        // A call that a target of this VM makes belongs to a request that runs there, but doesn't name it. The
        // call is therefore charged to the retry budget with the probability that a running request is a
        // repeat.
        if matched.access() == Access::Open
            && core.feed.is_some()
            && rng().random_bool(core.admission.repeated_share())
        {
            let service = &matched.service;
            self.retry_budgets
                .try_spend(core, service, Purpose::Forced)
                .await;
        }
        requested.map_err(refusal)?;
        let payload = intake.read(core, deadline).await.map_err(refusal)?;
        let (matched, caller) = match core.buffers.is_some() && !payload.is_empty() {
            // The configuration may have changed while the body was read.
            true => authorise().map_err(refusal)?,
            false => (matched, caller),
        };
        let rank = Rank {
            external: matched.access() == Access::Keyed,
            organisation: caller.as_ref().map_or(0, |(o, _)| o.priority),
            route: matched.priority(),
        };
        let context = RequestContext {
            core: Arc::clone(core),
            idempotent: matched.is_idempotent(&parts.method),
            body_empty: payload.is_empty(),
            matched,
            caller: caller.map(|(organisation, key)| (organisation.name.clone(), key)),
            method: parts.method,
            uri: parts.uri,
            host,
            headers: add_source_service(core, forwarded_headers(&core.header_names, parts.headers)),
            started,
            deadline,
            sequence: self.sequence.fetch_add(1, Relaxed) + 1,
            request_id,
            rank,
            room,
        };
        Ok((context, payload))
    }
}

/// Returns whether a request may be a call of a target, and is over in the time that is left.
fn is_call_within(core: &Core, host: &str, parts: &Parts, left: Duration) -> bool {
    let matched = core
        .view
        .load()
        .index
        .route(host, parts.uri.path(), &mut rng());
    let requested = client_timeout(&core.header_names, &parts.headers);
    matched.is_some_and(|m| m.access() == Access::Open && allowed_time(&m, requested) <= left)
}

/// Returns how long a request may take whose caller requested this timeout.
fn allowed_time(matched: &RouteMatch, requested: Result<Option<Duration>, Code>) -> Duration {
    let longest = matched.timeout();
    match requested {
        Ok(Some(timeout)) => timeout.min(longest),
        _ => longest,
    }
}

/// The body of a request that is being accepted.
enum Intake<'c> {
    /// The body was read before the checks, since nothing bounds the bytes that the node holds.
    Read(Payload),
    Unread(UnreadBody, &'c Arc<Buffers>),
    Leased(UnreadBody, &'c Arc<Buffers>, Option<BodyLease>),
}

impl Intake<'_> {
    /// Leases room for a body that has not been read. Meanwhile the caller is not read from.
    ///
    /// # Errors
    /// The time after which there will be room, if that is longer than the request may wait.
    async fn reserve(self, organisation: &str, patience: Duration) -> Result<Self, Duration> {
        let Self::Unread(body, buffers) = self else {
            return Ok(self);
        };
        let lease = match body.first_lease(buffers) {
            None => None,
            Some(bytes) => {
                let holder = Holder::of_request(organisation);
                Some(buffers.lease_within(&holder, bytes, patience).await?)
            }
        };
        Ok(Self::Leased(body, buffers, lease))
    }

    /// Reads a body that has not been read.
    async fn read(self, core: &Core, deadline: Instant) -> Result<Payload, Code> {
        match self {
            Self::Read(payload) => Ok(payload),
            Self::Unread(body, buffers) | Self::Leased(body, buffers, None) => {
                body.read(None, buffers, Duration::ZERO).await
            }
            Self::Leased(body, buffers, lease) => {
                let remaining = deadline.saturating_duration_since(core.clock.now());
                body.read(lease, buffers, remaining).await
            }
        }
    }
}

/// Leases room for the response before the request is sent on, so that a response without room doesn't occupy its target.
async fn reserve_response(
    core: &Core,
    organisation: &str,
    cut: Cut,
    patience: Duration,
) -> Result<ReservedRoom, Duration> {
    let Some(buffers) = &core.buffers else {
        return Ok(ReservedRoom::default());
    };
    let holder = Holder::of_response(organisation, &cut);
    let lease = buffers.lease_response(&holder, patience).await?;
    Ok(ReservedRoom::new(Some(lease), cut))
}

/// Draws one request on an organisation's quota, and returns whether it was granted.
///
/// A node that has just started draws again for up to [`QUOTA_TIMEOUT`]: it may not know the owner of the
/// quota yet, or the owner's share starts nearly empty.
async fn draw_quota(core: &Core, organisation: &Organisation, started: Instant) -> bool {
    loop {
        if core.quota.draw(core, organisation).await {
            return true;
        }
        let now = core.clock.now();
        if !core.discovering(now) || now >= started + QUOTA_TIMEOUT {
            return false;
        }
        sleep(QUOTA_RETRY_INTERVAL).await;
    }
}

/// Logs on drop, unless disarmed, that the caller disconnected before it got a response: the server drops the
/// future that serves the request then.
struct DisconnectLogger<'c> {
    context: &'c RequestContext,
    disarmed: bool,
}

impl DisconnectLogger<'_> {
    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for DisconnectLogger<'_> {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        let request = self.context.request_id.as_str();
        let service = self.context.matched.service.name.as_str();
        let now = self.context.core.clock.now();
        let took_ms = whole_millis(now.saturating_duration_since(self.context.started));
        spdlog::info!("caller disconnected before the response", kv: { request, service, took_ms });
    }
}

/// Matches a request to its route and finds its caller, by the configuration that is in force now.
fn authorise(
    core: &Core,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<(RouteMatch, Option<Caller>), Code> {
    // The clock is read before the view, so that the view is no older than the configuration that was
    // fresh at that time.
    let fresh = core.feed.is_none() || core.is_fresh(core.clock.now());
    let view = core.view.load_full();
    if view.index.generation == 0 {
        return Err(Code::NotFresh);
    }
    route_and_authenticate(core, &view, host, path, headers, fresh)
}

/// Matches a request to its route, and on keyed routes finds the caller by its key. `fresh` says whether the
/// node's configuration is fresh.
///
/// A node whose configuration may be outdated refuses unknown routes and keys with [`Code::NotFresh`], since
/// they may exist in a newer generation. It also refuses known keys, since they may have been withdrawn.
fn route_and_authenticate(
    core: &Core,
    view: &View,
    host: &str,
    path: &str,
    headers: &HeaderMap,
    fresh: bool,
) -> Result<(RouteMatch, Option<Caller>), Code> {
    let unless_outdated = |code| if fresh { code } else { Code::NotFresh };
    let matched = view.index.route(host, path, &mut rng());
    let matched = matched.ok_or_else(|| unless_outdated(Code::NoRoute))?;
    if matched.access() == Access::Open {
        return Ok((matched, None));
    }
    let caller = authenticate(view, &core.header_names, headers);
    let caller = caller.ok_or_else(|| unless_outdated(Code::WrongKey))?;
    match fresh {
        true => Ok((matched, Some(caller))),
        false => Err(Code::NotFresh),
    }
}

/// Returns the id that the caller gave its request, or an empty string.
fn request_id_of(core: &Core, headers: &HeaderMap) -> String {
    let id = core
        .header_names
        .supplied_id()
        .and_then(|name| headers.get(name));
    id.and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Adds the header that names this VM's service as the source of a request, if it is configured.
fn add_source_service(core: &Core, mut headers: HeaderMap) -> HeaderMap {
    if let Some(name) = &core.header_names.source_service
        && let Some(service) = &core.settings.service
        && let Ok(value) = HeaderValue::from_str(service)
    {
        headers.insert(name, value);
    }
    headers
}

/// Completes the headers of a response, and records it in metrics and log.
fn finish_response(
    core: &Core,
    context: Option<&RequestContext>,
    request_id: &str,
    mut response: Response<Body>,
    started: Instant,
) -> Response<Body> {
    if let Some(header) = core.header_names.supplied_id()
        && !response.headers().contains_key(header)
        && let Ok(value) = HeaderValue::from_str(request_id)
    {
        response.headers_mut().insert(header, value);
    }
    let service = context.map_or("", |c| c.matched.service.name.as_str());
    let organisation = context
        .and_then(|c| c.caller.as_ref())
        .map_or("", |(name, _)| name);
    let code = response.headers().get(CODE_HEADER);
    let code = code.and_then(|c| c.to_str().ok()).unwrap_or("");
    let took = core.clock.now().saturating_duration_since(started);
    core.metrics
        .record_answer(service, organisation, code, response.status(), took);
    let status = response.status().as_u16();
    let took_ms = whole_millis(took);
    let generation = core.view.load().index.generation;
    spdlog::info!("request answered", kv: { request = request_id, service, organisation, code, status, took_ms, generation });
    response
}
