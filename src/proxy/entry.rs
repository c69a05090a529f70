//! The entry: the node that a caller came to. It finds the route, proves the key, and tells the caller
//! the truth about what became of the request.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    board::View,
    config::{Access, Matched, Organisation},
    fleet::Body,
    node::Core,
    policy::{path::PathHealth, queue::Rank},
    proxy::{
        Code, Outcome, Purpose,
        answer::{CODE_HEADER, refuse},
        course::run,
        head::{clean, host_of, prove, wished_timeout},
        job::{Job, whole_millis},
        payload::{Payload, hold},
        retries::RetryBudgets,
    },
};

/// How long a request waits for a quota after its node has started: what is left of the usual objective of
/// 2 s is enough for the work.
const QUOTA_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long it waits before it asks again: the time in which a quota of ten a second grows by one.
const QUOTA_PAUSE: Duration = Duration::from_millis(100);

/// The entry's own state.
#[derive(Default)]
pub struct Entry {
    pub(super) sequence: AtomicU64,
    /// Retry budgets.
    pub repeats: RetryBudgets,
    pub(super) paths: Mutex<HashMap<Arc<str>, PathHealth>>,
}

/// Who a request runs for: the organisation, and the id of the key that came.
type Caller = (Arc<Organisation>, String);

impl Entry {
    /// Serves one request of a caller.
    pub async fn serve(&self, core: &Arc<Core>, request: Request<Incoming>) -> Response<Body> {
        let begun = core.clock.now();
        let name = name_of(core, request.headers());
        let (job, payload) = match self.accept(core, request, name.clone(), begun).await {
            Ok(accepted) => accepted,
            Err(refused) => return finish(core, None, &name, *refused, begun),
        };
        let waiting = Waiting {
            job: &job,
            answered: false,
        };
        let response = run(&job, payload).await;
        waiting.answered();
        finish(core, Some(&job), &name, response, begun)
    }

    async fn accept(
        &self,
        core: &Arc<Core>,
        request: Request<Incoming>,
        name: String,
        begun: Instant,
    ) -> Result<(Job, Payload), Box<Response<Body>>> {
        let refused = |code| Box::new(refuse(code, Outcome::NotRun, None));
        if core.closed() {
            return Err(refused(Code::Stopping));
        }
        let (parts, body) = request.into_parts();
        let host = host_of(&parts).unwrap_or_default();
        let payload = hold(body).await.map_err(refused)?;
        // The clock is read before the view, so that the view is no older than what was fresh then.
        let fresh = core.feed.is_none() || core.fresh(core.clock.now());
        let view = core.view.load_full();
        if view.index.generation == 0 {
            return Err(refused(Code::NotFresh));
        }
        let (matched, caller) =
            find(core, &view, &host, parts.uri.path(), &parts.headers, fresh).map_err(refused)?;
        if let Some((organisation, _)) = &caller
            && core.feed.is_some()
            && !draw(core, organisation, begun).await
        {
            let (request, organisation) = (name.as_str(), organisation.name.as_str());
            spdlog::info!("quota refused", kv: { request, organisation });
            return Err(refused(Code::RateSpent));
        }
        // A call of this VM's target belongs to a request that runs there; which one, it does not say.
        if matched.access() == Access::Open
            && core.feed.is_some()
            && rng().random_bool(core.admission.repeated_share())
        {
            let service = &matched.service;
            self.repeats.try_spend(core, service, Purpose::Forced).await;
        }
        let limit = matched.timeout();
        let wished = wished_timeout(&core.dialect, &parts.headers).map_err(refused)?;
        let deadline = begun + wished.map_or(limit, |w| w.min(limit));
        let rank = Rank {
            external: matched.access() == Access::Keyed,
            organisation: caller.as_ref().map_or(0, |(o, _)| o.priority),
            route: matched.priority(),
        };
        let job = Job {
            core: Arc::clone(core),
            idempotent: matched.idempotent(&parts.method),
            bodyless: payload.is_empty(),
            matched,
            caller: caller.map(|(organisation, key)| (organisation.name.clone(), key)),
            method: parts.method,
            uri: parts.uri,
            host,
            headers: originate(core, clean(&core.dialect, parts.headers)),
            begun,
            deadline,
            sequence: self.sequence.fetch_add(1, Relaxed) + 1,
            name,
            rank,
        };
        Ok((job, payload))
    }
}

/// Draws on an organisation's quota. A node that has just started asks again for a while: who holds the
/// quota is not known yet, or the holder's part starts nearly empty.
async fn draw(core: &Core, organisation: &Organisation, begun: Instant) -> bool {
    loop {
        if core.quota.draw(core, organisation).await {
            return true;
        }
        let now = core.clock.now();
        if !core.settles(now) || now >= begun + QUOTA_PATIENCE {
            return false;
        }
        sleep(QUOTA_PAUSE).await;
    }
}

/// A caller that waits for its answer; one that leaves before is logged.
struct Waiting<'j> {
    job: &'j Job,
    answered: bool,
}

impl Waiting<'_> {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let request = self.job.name.as_str();
        let service = self.job.matched.service.name.as_str();
        let now = self.job.core.clock.now();
        let took_ms = whole_millis(now.saturating_duration_since(self.job.begun));
        spdlog::info!("caller left", kv: { request, service, took_ms });
    }
}

/// Finds the route of a request, and on keyed routes whose key came.
///
/// A node whose configuration may be old refuses what it does not know without claiming that it does
/// not exist, and starts nothing for a key that may be withdrawn.
fn find(
    core: &Core,
    view: &View,
    host: &str,
    path: &str,
    headers: &HeaderMap,
    fresh: bool,
) -> Result<(Matched, Option<Caller>), Code> {
    let unknown = |code| if fresh { code } else { Code::NotFresh };
    let matched = view.index.route(host, path, &mut rng());
    let matched = matched.ok_or_else(|| unknown(Code::NoRoute))?;
    if matched.access() == Access::Open {
        return Ok((matched, None));
    }
    let caller = prove(view, &core.dialect, headers);
    let caller = caller.ok_or_else(|| unknown(Code::WrongKey))?;
    match fresh {
        true => Ok((matched, Some(caller))),
        false => Err(Code::NotFresh),
    }
}

/// Returns the caller's name of a request; empty where callers give none.
fn name_of(core: &Core, headers: &HeaderMap) -> String {
    let name = core.dialect.echoed().and_then(|name| headers.get(name));
    name.and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Tells targets which service a request comes from: the one on this VM.
fn originate(core: &Core, mut headers: HeaderMap) -> HeaderMap {
    if let Some(name) = &core.dialect.origin
        && let Some(service) = &core.settings.service
        && let Ok(value) = HeaderValue::from_str(service)
    {
        headers.insert(name, value);
    }
    headers
}

fn finish(
    core: &Core,
    job: Option<&Job>,
    name: &str,
    mut response: Response<Body>,
    begun: Instant,
) -> Response<Body> {
    if core.stopping() && response.version() == Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if let Some(header) = core.dialect.echoed()
        && !response.headers().contains_key(header)
        && let Ok(value) = HeaderValue::from_str(name)
    {
        response.headers_mut().insert(header, value);
    }
    let service = job.map_or("", |j| j.matched.service.name.as_str());
    let organisation = job.and_then(|j| j.caller.as_ref()).map_or("", |c| &c.0);
    let code = response.headers().get(CODE_HEADER);
    let code = code.and_then(|c| c.to_str().ok()).unwrap_or("");
    let took = core.clock.now().saturating_duration_since(begun);
    core.metrics
        .answered(service, organisation, code, response.status(), took);
    let status = response.status().as_u16();
    let took_ms = whole_millis(took);
    let generation = core.view.load().index.generation;
    spdlog::info!("answered", kv: { request = name, service, organisation, code, status, took_ms, generation });
    response
}
