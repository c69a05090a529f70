//! One attempt: the choice of a target, the exchange with its egress node, and the outcome.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Response, Uri, header};
use rand::rng;
use tokio::time::{sleep, timeout};

use crate::{
    board::TargetView,
    fleet::{Body, LinkError, codec::Resolution},
    policy::{
        attempt::AttemptId,
        pick::{Candidate, pick},
        queue::Rank,
    },
    proxy::{
        Code, Ingress, Purpose,
        attempt::{ATTEMPT_HEADER, Attempt},
        crossing::Reach,
        egress::{LOAD_HEADER, VERDICT_HEADER},
        error_response::CODE_HEADER,
        request_context::{AttemptOutcome, RequestContext},
        resolution::{RESOLVE_TIMEOUT, resolve},
        version_choice::Versions,
    },
};

/// How long after a request's deadline the outcome of its attempt is still queried.
const RESOLVE_GRACE: Duration = Duration::from_secs(2);

/// Counts an attempt as running at a target until it is dropped.
struct RunningCount<'t>(&'t TargetView);

impl Drop for RunningCount<'_> {
    fn drop(&mut self) {
        self.0.load.running.fetch_sub(1, Relaxed);
    }
}

impl Ingress {
    /// Acquires the right to send an idempotent request to a target once more, and returns whether it was
    /// granted. Spends one retry of the service's budget. Where ingress nodes enforce quotas, also draws on
    /// the organisation's quota again, since the request may run at two targets.
    pub(super) async fn acquire_retry(&self, context: &RequestContext) -> bool {
        context.idempotent
            && !context.is_expired()
            && self.redraw_quota(context).await
            && self.try_spend_retry(context).await
    }

    /// Acquires the right to repeat an idempotent request whose node ends or has ended, and returns whether it was
    /// granted. Since the fleet itself caused the interruption, neither the quota nor the retry budget
    /// refuses the retry. It is charged to both, and may make the budget negative.
    pub(super) async fn acquire_interrupted_retry(&self, context: &RequestContext) -> bool {
        if !context.idempotent || context.is_expired() {
            return false;
        }
        let drawn = self.redraw_quota(context).await;
        let (request, service) = (context.request_id.as_str(), &context.matched.service);
        spdlog::info!("repeating a request because a node that it depends on ends", kv: { request, drawn });
        self.retry_budgets
            .try_spend(&context.core, service, Purpose::Forced)
            .await
    }

    /// Draws on the quota of the request's organisation again, and returns whether the draw was granted.
    /// Returns true without a draw for requests without a key, and where ingress nodes don't enforce quotas.
    async fn redraw_quota(&self, context: &RequestContext) -> bool {
        let core = &context.core;
        let Some((organisation, _)) = context.caller.as_ref().filter(|_| core.feed.is_some())
        else {
            return true;
        };
        let view = core.view.load_full();
        match view.index.organisation(organisation) {
            Some(organisation) => core.quota.draw(core, organisation).await,
            None => false,
        }
    }

    /// Acquires the right to send a request that a target refused to run to another target, and returns
    /// whether it was granted. A fleet-wide retry budget (`retry_slack` above 0) counts every request that
    /// reaches a target, so this spends one retry of it.
    pub(super) async fn acquire_other_target(&self, context: &RequestContext) -> bool {
        !context.is_expired()
            && (context.matched.service.retry_slack == 0 || self.try_spend_retry(context).await)
    }

    /// Spends one retry of the service's budget, and returns whether the budget had one.
    async fn try_spend_retry(&self, context: &RequestContext) -> bool {
        let purpose = match context.rank.external {
            true => Purpose::Request,
            false => Purpose::Call,
        };
        let service = &context.matched.service;
        let granted = self
            .retry_budgets
            .try_spend(&context.core, service, purpose)
            .await;
        if !granted {
            let (request, service) = (
                context.request_id.as_str(),
                context.matched.service.name.as_str(),
            );
            spdlog::info!("retry refused: retry budget of the service is exhausted", kv: { request, service });
        }
        granted
    }

    /// Chooses a target that is not in `excluded` and may have a free slot, where the request may go. `versions` are
    /// those that it may be of.
    pub(super) fn choose_target(
        &self,
        context: &RequestContext,
        versions: &Versions,
        excluded: &[Arc<str>],
        reach: &Reach,
    ) -> Option<TargetView> {
        let view = context.core.view.load();
        let now = context.core.clock.now();
        let service = view.services.get(context.matched.service.name.as_str())?;
        let targets = &service.targets;
        let usual = context
            .matched
            .service
            .stated_slots
            .then(|| service.usual_load(now));
        let outlook =
            |t: &TargetView| usual.map(|u| t.outlook(u, context.tolerates_suspicion(), now));
        let has_room =
            |t: &TargetView| t.may_have_slot(now) && outlook(t).is_none_or(|o| o.has_room());
        let available: Vec<&TargetView> = targets
            .iter()
            .filter(|t| !excluded.contains(&t.id) && reach.includes(t))
            .filter(|t| versions.allow(t) && has_room(t))
            .collect();
        let paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates: Vec<Candidate> = available
            .iter()
            .map(|t| Candidate {
                local: t.local,
                load: outlook(t).map_or_else(|| t.load_estimate(now), |o| o.load),
                slots: f64::from(t.slots),
                avoided: paths.get(&t.vm.address).is_some_and(|p| p.is_avoided(now)),
                // A failing target that the floor keeps in service still gets requests, but fewer.
                cold: t.cold || t.failing,
            })
            .collect();
        drop(paths);
        pick(&candidates, &mut rng()).map(|i| available[i].clone())
    }

    /// Records whether an exchange with the node at `address` succeeded.
    fn record_path(&self, address: &Arc<str>, succeeded: bool, now: Instant) {
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        let path = paths.entry(Arc::clone(address)).or_default();
        if succeeded {
            path.record_success();
        } else {
            path.record_failure(now);
        }
    }

    /// Makes one attempt at a target, in whose queue it may wait for a slot for up to `wait`.
    pub(super) async fn run_attempt(
        &self,
        context: &RequestContext,
        target: &TargetView,
        (number, repeat, rank): (u32, bool, Rank),
        wait: Duration,
        (headers, body): (&HeaderMap, Body),
    ) -> AttemptOutcome {
        let core = &context.core;
        let id = AttemptId {
            ingress: core.incarnation,
            sequence: context.sequence,
            number,
        };
        let attempt = Attempt {
            id,
            egress: target.vm.incarnation,
            target: target.id.to_string(),
            service: context.matched.service.name.clone(),
            caller: context.caller.clone(),
            remaining: context.remaining(),
            floor: target.failing,
            idempotent: context.idempotent,
            repeat,
            host: context.host.clone(),
            request_id: context.request_id.clone(),
            rank,
            wait,
            objective: context.objective(),
            objective_left: context.objective_left(),
        };
        if !target.local {
            let service = context.matched.service.name.as_str();
            core.metrics.record_crossing(service, &target.centre);
        }
        target.load.running.fetch_add(1, Relaxed);
        let running = RunningCount(target);
        let outcome = if target.vm.address == core.address {
            let request = context.build_request(headers, body);
            let response = core.egress.serve(core, attempt, request).await;
            record_load(target, response.headers(), core.clock.now());
            read_verdict(response, AttemptOutcome::LocalResponse)
        } else {
            self.send_attempt(context, target, &attempt, headers, body)
                .await
        };
        drop(running);
        outcome
    }

    /// Sends an attempt to the egress node of its target.
    async fn send_attempt(
        &self,
        context: &RequestContext,
        target: &TargetView,
        attempt: &Attempt,
        headers: &HeaderMap,
        body: Body,
    ) -> AttemptOutcome {
        let core = &context.core;
        let address = &target.vm.address;
        let link = match core.links.get(address).await {
            Ok(link) => link,
            Err(error @ (LinkError::Connect(_) | LinkError::Broken(_))) => {
                // Nothing of the request has been sent yet, so it has not run.
                let (request, node) = (context.request_id.as_str(), &**address);
                let error = error.to_string();
                spdlog::warn!("failed to connect to node", kv: { request, node, error });
                self.record_path(address, false, core.clock.now());
                return AttemptOutcome::Refused(Code::TargetUnreachable, None);
            }
        };
        let mut request = context.build_request(headers, body);
        *request.uri_mut() = absolute(address, &context.uri);
        attempt.write_headers(request.headers_mut());
        match timeout(context.remaining(), link.send(request)).await {
            Ok(Ok(response)) => {
                self.record_path(address, true, core.clock.now());
                record_load(target, response.headers(), core.clock.now());
                read_verdict(response, |response| {
                    AttemptOutcome::RemoteResponse(response, attempt.id)
                })
            }
            Ok(Err(error)) => {
                let (request, node) = (context.request_id.as_str(), &**address);
                let error = error.to_string();
                spdlog::warn!("connection to node failed during an attempt", kv: { request, node, error });
                self.record_path(address, false, core.clock.now());
                core.links.discard(address).await;
                self.resolve_outcome(context, target, attempt, Code::AnswerLost)
                    .await
            }
            // Where the timeout bounds the whole response, it takes precedence over the query for the outcome.
            Err(_) if core.feed.is_some() => AttemptOutcome::Unknown(Code::Timeout),
            Err(_) => {
                self.resolve_outcome(context, target, attempt, Code::Timeout)
                    .await
            }
        }
    }

    /// Queries the outcome of an attempt whose response did not arrive. If the attempt may have run, its
    /// outcome has the given code.
    async fn resolve_outcome(
        &self,
        context: &RequestContext,
        target: &TargetView,
        attempt: &Attempt,
        code: Code,
    ) -> AttemptOutcome {
        let core = &context.core;
        let resolve_deadline = match core.feed.is_some() {
            true => context.deadline,
            false => context.deadline.max(core.clock.now()) + RESOLVE_GRACE,
        };
        loop {
            let left = resolve_deadline.saturating_duration_since(core.clock.now());
            let resolution = timeout(left, resolve(core, target, attempt)).await;
            let resolution = resolution.unwrap_or_default();
            let (request, node) = (context.request_id.as_str(), &*target.vm.address);
            let found = resolution.map_or("nothing", |r| r.as_str_name());
            spdlog::info!("queried attempt outcome", kv: { request, node, found });
            match resolution {
                Some(Resolution::NeverSeenNowBarred | Resolution::Cancelled) => {
                    let code = if context.is_expired() {
                        Code::Timeout
                    } else {
                        Code::Barred
                    };
                    return AttemptOutcome::Refused(code, None);
                }
                Some(_) => return AttemptOutcome::Unknown(code),
                // An idempotent request may be retried although the outcome is unknown.
                None if context.idempotent => return AttemptOutcome::Unknown(code),
                None if core.clock.now() >= resolve_deadline => {
                    return AttemptOutcome::Unknown(code);
                }
                None => sleep(RESOLVE_TIMEOUT / 4).await,
            }
        }
    }
}

/// Returns whether the egress node of a target is alive and not leaving. The target itself may be ejected.
pub(super) fn is_egress_active(context: &RequestContext, target: &TargetView) -> bool {
    let view = context.core.view.load();
    let mut active_nodes = view
        .local_nodes
        .iter()
        .chain(view.remote_nodes.iter().flatten());
    let egress = &target.vm;
    active_nodes.any(|vm| vm.address == egress.address && vm.incarnation == egress.incarnation)
}

/// Returns the absolute form of a request's URI at a node.
fn absolute(address: &str, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    Uri::builder()
        .scheme("http")
        .authority(address)
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

/// Records the number of requests that run or wait at a target, which its egress node reports with each
/// response.
pub(super) fn record_load(target: &TargetView, headers: &HeaderMap, now: Instant) {
    let load = headers.get(LOAD_HEADER).and_then(|v| v.to_str().ok());
    if let Some(load) = load.and_then(|l| l.parse().ok()) {
        target.load.record_report(load, now);
    }
}

/// Converts a response of an egress node to the outcome of the attempt. A response that the target returned is
/// converted by `on_response`.
fn read_verdict<B>(
    response: Response<B>,
    on_response: impl FnOnce(Response<B>) -> AttemptOutcome,
) -> AttemptOutcome {
    let headers = response.headers();
    let text = |name| {
        headers
            .get(name)
            .and_then(|v: &HeaderValue| v.to_str().ok())
    };
    let code = text(CODE_HEADER).and_then(Code::parse);
    let retry_after = text(header::RETRY_AFTER).and_then(|t| t.parse().ok());
    match text(VERDICT_HEADER) {
        Some("answer") => on_response(response),
        Some("refused") => {
            let code = code.unwrap_or(Code::Overloaded);
            AttemptOutcome::Refused(code, retry_after.map(Duration::from_secs))
        }
        _ => AttemptOutcome::Unknown(code.unwrap_or(Code::AnswerLost)),
    }
}

/// Returns whether the headers of a response name this attempt.
pub(super) fn belongs_to(headers: &HeaderMap, id: AttemptId) -> bool {
    headers
        .get(ATTEMPT_HEADER)
        .is_some_and(|v| *v == id.to_string())
}
