//! One attempt: the choice of a target, the way to its guard, and what came of it.

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
        Code, Entry, Purpose,
        answer::CODE_HEADER,
        attempt::{ATTEMPT_HEADER, Attempt},
        egress::{LOAD_HEADER, VERDICT_HEADER},
        job::{Job, Tried},
        resolve::{RESOLVE_TIMEOUT, resolve},
    },
};

/// How long an answer to the question what became of an attempt is looked for after the deadline.
const RESOLVE_FOR: Duration = Duration::from_secs(2);

/// Counts an attempt as running at a target until it is dropped.
struct Running<'t>(&'t TargetView);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.load.running.fetch_sub(1, Relaxed);
    }
}

impl Entry {
    /// Takes a repeat of an idempotent request from the budget, if there is one. Where quotas are
    /// granted here, it draws on the organisation's once more: it may run at two targets.
    pub(super) async fn may_repeat(&self, job: &Job) -> bool {
        job.idempotent && !job.over() && self.draw_again(job).await && self.spend(job).await
    }

    /// Takes the repeat of a request whose node ended under it. It is the fleet that broke off, so that
    /// neither a quota nor the retry budget refuses it; both are drawn on, and the budget makes up for it.
    pub(super) async fn repeat_interrupted(&self, job: &Job) -> bool {
        if !job.idempotent || job.over() {
            return false;
        }
        let drawn = self.draw_again(job).await;
        let (request, service) = (job.name.as_str(), &job.matched.service);
        spdlog::info!("repeat after a node ended", kv: { request, drawn });
        self.repeats
            .try_spend(&job.core, service, Purpose::Forced)
            .await
    }

    async fn draw_again(&self, job: &Job) -> bool {
        let core = &job.core;
        let Some((organisation, _)) = job.caller.as_ref().filter(|_| core.feed.is_some()) else {
            return true;
        };
        let view = core.view.load_full();
        match view.index.organisation(organisation) {
            Some(organisation) => core.quota.draw(core, organisation).await,
            None => false,
        }
    }

    /// Tells whether a request that a target refused to run may be sent to another one. Where the
    /// budget counts over the fleet, it counts all that arrives at targets.
    pub(super) async fn may_go_elsewhere(&self, job: &Job) -> bool {
        !job.over() && (job.matched.service.retry_slack == 0 || self.spend(job).await)
    }

    async fn spend(&self, job: &Job) -> bool {
        let purpose = match job.rank.external {
            true => Purpose::Request,
            false => Purpose::Call,
        };
        let service = &job.matched.service;
        let may = self.repeats.try_spend(&job.core, service, purpose).await;
        if !may {
            let (request, service) = (job.name.as_str(), job.matched.service.name.as_str());
            spdlog::info!("retry budget spent", kv: { request, service });
        }
        may
    }

    /// Chooses a target that was not tried yet and may have a free slot, within the data centre or
    /// anywhere.
    pub(super) fn choose(
        &self,
        job: &Job,
        tried: &[Arc<str>],
        near_only: bool,
    ) -> Option<TargetView> {
        let view = job.core.view.load();
        let now = job.core.clock.now();
        let targets = &view
            .services
            .get(job.matched.service.name.as_str())?
            .targets;
        let open: Vec<&TargetView> = targets
            .iter()
            .filter(|t| !tried.contains(&t.id) && (t.local || !near_only))
            .filter(|t| t.may_have_slot(now))
            .collect();
        let paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|t| Candidate {
                local: t.local,
                load: t.load_estimate(now),
                slots: f64::from(t.slots),
                avoided: paths.get(&t.vm.address).is_some_and(|p| p.is_avoided(now)),
                // One that the floor keeps in gets its part of the requests, if a smaller one.
                cold: t.cold || t.failing,
            })
            .collect();
        drop(paths);
        pick(&candidates, &mut rng()).map(|i| open[i].clone())
    }

    fn path(&self, vm: &Arc<str>, worked: bool, now: Instant) {
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        let path = paths.entry(Arc::clone(vm)).or_default();
        if worked {
            path.record_success();
        } else {
            path.record_failure(now);
        }
    }

    /// Makes one attempt at one target, which may keep it waiting for a slot as long as `wait`.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        target: &TargetView,
        (number, repeat, rank): (u32, bool, Rank),
        wait: Duration,
        (headers, body): (&HeaderMap, Body),
    ) -> Tried {
        let core = &job.core;
        let id = AttemptId {
            ingress: core.incarnation,
            sequence: job.sequence,
            number,
        };
        let attempt = Attempt {
            id,
            guard: target.vm.incarnation,
            target: target.id.to_string(),
            service: job.matched.service.name.clone(),
            caller: job.caller.clone(),
            left: job.left(),
            floor: target.failing,
            idempotent: job.idempotent,
            repeat,
            host: job.host.clone(),
            request: job.name.clone(),
            rank,
            wait,
            objective: job.objective(),
        };
        target.load.running.fetch_add(1, Relaxed);
        let running = Running(target);
        let tried = if target.vm.address == core.address {
            let request = job.request(headers, body);
            let response = core.egress.serve(core, attempt, request).await;
            note_load(target, response.headers(), core.clock.now());
            read_verdict(response, Tried::Local)
        } else {
            self.send(job, target, &attempt, headers, body).await
        };
        drop(running);
        tried
    }

    async fn send(
        &self,
        job: &Job,
        target: &TargetView,
        attempt: &Attempt,
        headers: &HeaderMap,
        body: Body,
    ) -> Tried {
        let core = &job.core;
        let address = &target.vm.address;
        let link = match core.links.get(address).await {
            Ok(link) => link,
            Err(error @ (LinkError::Connect(_) | LinkError::Broken(_))) => {
                // Nothing of the request was sent yet.
                let (request, node) = (job.name.as_str(), &**address);
                let error = error.to_string();
                spdlog::warn!("node unreachable", kv: { request, node, error });
                self.path(address, false, core.clock.now());
                return Tried::Refused(Code::TargetUnreachable, None);
            }
        };
        let mut request = job.request(headers, body);
        *request.uri_mut() = absolute(address, &job.uri);
        attempt.write(request.headers_mut());
        match timeout(job.left(), link.send(request)).await {
            Ok(Ok(response)) => {
                self.path(address, true, core.clock.now());
                note_load(target, response.headers(), core.clock.now());
                read_verdict(response, |response| Tried::Answer(response, attempt.id))
            }
            Ok(Err(error)) => {
                let (request, node) = (job.name.as_str(), &**address);
                let error = error.to_string();
                spdlog::warn!("link broke", kv: { request, node, error });
                self.path(address, false, core.clock.now());
                core.links.distrust(address).await;
                self.settle(job, target, attempt, Code::AnswerLost).await
            }
            // The operators' timeout goes before the truth where they bound the whole answer.
            Err(_) if core.feed.is_some() => Tried::Broken(Code::Timeout),
            Err(_) => self.settle(job, target, attempt, Code::Timeout).await,
        }
    }

    /// Finds out what became of an attempt whose answer did not come.
    async fn settle(&self, job: &Job, target: &TargetView, attempt: &Attempt, code: Code) -> Tried {
        let core = &job.core;
        let give_up = match core.feed.is_some() {
            true => job.deadline,
            false => job.deadline.max(core.clock.now()) + RESOLVE_FOR,
        };
        loop {
            let left = give_up.saturating_duration_since(core.clock.now());
            let resolution = timeout(left, resolve(core, target, attempt)).await;
            let resolution = resolution.unwrap_or_default();
            let (request, node) = (job.name.as_str(), &*target.vm.address);
            let found = resolution.map_or("nothing", |r| r.as_str_name());
            spdlog::info!("attempt resolved", kv: { request, node, found });
            match resolution {
                Some(Resolution::NeverSeenNowBarred | Resolution::Cancelled) => {
                    let code = if job.over() {
                        Code::Timeout
                    } else {
                        Code::Barred
                    };
                    return Tried::Refused(code, None);
                }
                Some(_) => return Tried::Broken(code),
                // An idempotent request need not wait for the truth.
                None if job.idempotent => return Tried::Broken(code),
                None if core.clock.now() >= give_up => return Tried::Broken(code),
                None => sleep(RESOLVE_TIMEOUT / 4).await,
            }
        }
    }
}

/// Tells whether the guard of a target is alive and stays. The target itself may be out.
pub(super) fn guard_stays(job: &Job, target: &TargetView) -> bool {
    let view = job.core.view.load();
    let mut staying = view
        .local_nodes
        .iter()
        .chain(view.remote_nodes.iter().flatten());
    let guard = &target.vm;
    staying.any(|vm| vm.address == guard.address && vm.incarnation == guard.incarnation)
}

fn absolute(address: &str, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    Uri::builder()
        .scheme("http")
        .authority(address)
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

/// Takes up how many requests run or wait at a target, as its guard says with each answer.
pub(super) fn note_load(target: &TargetView, headers: &HeaderMap, now: Instant) {
    let load = headers.get(LOAD_HEADER).and_then(|v| v.to_str().ok());
    if let Some(load) = load.and_then(|l| l.parse().ok()) {
        target.load.record_report(load, now);
    }
}

fn read_verdict<B>(response: Response<B>, answer: impl FnOnce(Response<B>) -> Tried) -> Tried {
    let headers = response.headers();
    let text = |name| {
        headers
            .get(name)
            .and_then(|v: &HeaderValue| v.to_str().ok())
    };
    let code = text(CODE_HEADER).and_then(Code::parse);
    let wait = text(header::RETRY_AFTER).and_then(|t| t.parse().ok());
    match text(VERDICT_HEADER) {
        Some("answer") => answer(response),
        Some("refused") => {
            let code = code.unwrap_or(Code::Overloaded);
            Tried::Refused(code, wait.map(Duration::from_secs))
        }
        _ => Tried::Broken(code.unwrap_or(Code::AnswerLost)),
    }
}

/// Tells whether an answer belongs to an attempt.
pub(super) fn echoes(headers: &HeaderMap, id: AttemptId) -> bool {
    headers
        .get(ATTEMPT_HEADER)
        .is_some_and(|v| *v == id.to_string())
}
