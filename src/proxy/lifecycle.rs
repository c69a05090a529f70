//! The lifecycle of one request: which attempts are made, one after another or beside each other, until
//! one of them decides the answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::Response;
use tokio::time::{sleep, timeout};

use crate::{
    board::TargetView,
    fleet::{Body, box_body},
    policy::queue::Rank,
    proxy::{
        Code, Outcome,
        delivery::deliver,
        dispatch::{belongs_to, egress_stays},
        error_response::error_response,
        payload::Payload,
        request_context::{AttemptOutcome, RequestContext, whole_millis},
    },
};

/// Targets that one request may be sent to where its route does not bound that.
const MAX_SENT: u32 = 4;

/// Attempts at one request that guards may refuse without sending them on.
const MAX_REFUSALS: u32 = 24;

/// How long a request waits for a keeper of its organisation's rate, and how often it asks again.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the time until the deadline that a request may wait for a slot; what is left is for the
/// work itself.
const WAIT_SHARE: f64 = 0.6;

/// Share of a route's objective that a request waits for a slot in its own data centre before it goes
/// to another one: waits up to an eighth of the objective cost users nothing.
const LOCAL_WAIT_SHARE: f64 = 0.125;

/// The same for requests with large answers: a wait that leaves the work as much time as it has
/// elsewhere.
const LARGE_WAIT_SHARE: f64 = 0.5;

/// Far targets that one request asks for a free slot before it waits. Each question costs bytes between
/// data centres, and two random choices find a free slot nearly as often as all of them.
const MAX_REMOTE_ASKED: u32 = 2;

/// How much more there must be to do at a near target, as a share of its slots, for a request to wait
/// at a far one instead.
const REMOTE_LOAD_PENALTY: f64 = 0.5;

/// How much more there must be to do at targets that seem well, as a share of their slots, for a
/// request to be tried at one that seems to fail: more than two rounds of work.
const FAILING_LOAD_PENALTY: f64 = 1.5;

/// Share of a route's objective after which an idempotent request is tried a second time beside the
/// first, and the share that the first has at least: an answer that takes half of the objective can
/// still come in time from elsewhere.
const HEDGE_SHARE: f64 = 0.5;
const HEDGE_MIN_SHARE: f64 = 0.35;

/// An attempt that ended, at the target and with the number that it had.
type Ended = (TargetView, AttemptOutcome);

/// What a request has been through.
struct Lifecycle<'c> {
    context: &'c RequestContext,
    payload: Payload,
    /// Targets that are not asked again, or not now.
    tried: Vec<Arc<str>>,
    /// Targets that had no free slot; they are asked to keep the request waiting at last.
    busy: Vec<TargetView>,
    /// Attempts that were made.
    number: u32,
    /// Attempts that may have reached a target.
    sent: u32,
    refusals: u32,
    /// Far targets that were asked for a free slot.
    remote_asked: u32,
    /// When a second attempt is due beside the one that runs.
    hedge_at: Option<Instant>,
    /// Whether a target was asked to keep the request waiting as long as it may.
    waited: bool,
    /// Whether one of this data centre was asked to keep it waiting for a moment.
    local_waited: bool,
    owner_deadline: Instant,
    /// A target's own error, which is passed on if nobody else does better.
    failed: Option<Response<Body>>,
    /// How the last attempt ended that may have run.
    broken: Option<Code>,
    interrupted: Interrupted,
    /// The last true refusal, and when the request may come back.
    last: (Code, Option<Duration>),
}

/// Whether a node ended while it ran the request, which has waited once then: it goes before those
/// that wait elsewhere.
#[derive(PartialEq)]
enum Interrupted {
    Never,
    /// During the last attempt; the next one is granted in any case.
    Now,
    Before,
}

/// What is to be done after an attempt.
enum NextStep {
    Respond(Response<Body>),
    /// Nothing reached a target; another may take the request.
    TryElsewhere,
    /// It may have run, and may be repeated.
    Retry,
    Stop,
}

/// Runs a request to its answer, or to the end of the node.
pub(super) async fn run(context: &RequestContext, payload: Payload) -> Response<Body> {
    context
        .core
        .ingress
        .retry_budgets
        .earn(&context.matched.service);
    let mut lifecycle = Lifecycle {
        context,
        payload,
        tried: Vec::new(),
        busy: Vec::new(),
        number: 0,
        sent: 0,
        refusals: 0,
        remote_asked: 0,
        hedge_at: None,
        waited: false,
        local_waited: false,
        owner_deadline: context.core.clock.now() + OWNER_TIMEOUT,
        failed: None,
        broken: None,
        interrupted: Interrupted::Never,
        last: (Code::NoTarget, None),
    };
    let answer = tokio::select! {
        answer = drive(&mut lifecycle) => answer,
        () = context.core.ending() => None,
    };
    match answer {
        Some(answer) => answer,
        None if context.core.ends() => lifecycle.abort(),
        None => lifecycle.fail(),
    }
}

/// Makes attempts until one decides the answer, or none is left to be made.
async fn drive(lifecycle: &mut Lifecycle<'_>) -> Option<Response<Body>> {
    let context = lifecycle.context;
    let mut running: FuturesUnordered<BoxFuture<'_, Ended>> = FuturesUnordered::new();
    loop {
        if running.is_empty() {
            let attempt = lifecycle.next_attempt().await?;
            running.push(attempt);
        }
        let wait = lifecycle
            .hedge_at
            .map(|at| at.saturating_duration_since(context.core.clock.now()));
        let ended = match wait {
            None => running.next().await,
            Some(wait) => match timeout(wait, running.next()).await {
                Ok(ended) => ended,
                Err(_) => {
                    running.extend(lifecycle.hedge().await);
                    continue;
                }
            },
        };
        let Some((target, tried)) = ended else {
            continue;
        };
        match lifecycle.record_outcome(&target, tried).await {
            NextStep::Respond(response) => return Some(response),
            // What was to run beside another attempt runs elsewhere, if there is a free slot.
            NextStep::TryElsewhere if !running.is_empty() => {
                running.extend(lifecycle.attempt_free_anywhere())
            }
            NextStep::TryElsewhere
                if lifecycle.refusals < MAX_REFUSALS && !context.is_expired() => {}
            NextStep::Retry | NextStep::Stop if !running.is_empty() => {}
            NextStep::Retry if lifecycle.may_send_again() && lifecycle.may_retry().await => {}
            _ => return None,
        }
    }
}

impl<'c> Lifecycle<'c> {
    fn may_send_again(&self) -> bool {
        self.sent < self.context.matched.attempts().unwrap_or(MAX_SENT)
    }

    /// Tells whether the request may run again, after it may have run.
    async fn may_retry(&mut self) -> bool {
        let ingress = &self.context.core.ingress;
        match self.interrupted {
            Interrupted::Now => {
                self.interrupted = Interrupted::Before;
                ingress.retry_interrupted(self.context).await
            }
            Interrupted::Never | Interrupted::Before => ingress.may_retry(self.context).await,
        }
    }

    /// Returns when a second attempt is due beside one that starts now, if ever: not beside one that
    /// waits long for its slot.
    fn hedge_time(&self, wait: Duration) -> Option<Instant> {
        let objective = self.context.objective();
        let useful = self.context.idempotent && !objective.is_zero();
        let soon = wait < objective.mul_f64(HEDGE_MIN_SHARE);
        let due = self.context.started + objective.mul_f64(HEDGE_SHARE);
        let first = self.context.core.clock.now() + objective.mul_f64(HEDGE_MIN_SHARE);
        (useful && soon).then_some(due.max(first))
    }

    /// Returns an attempt beside one that takes long, if the budget has one.
    async fn hedge(&mut self) -> Option<BoxFuture<'c, Ended>> {
        self.hedge_at = None;
        if !self.may_send_again() || !self.context.core.ingress.may_retry(self.context).await {
            return None;
        }
        let request = self.context.request_id.as_str();
        spdlog::info!("second attempt beside a slow one", kv: { request });
        self.attempt_free_anywhere()
    }

    /// Returns the next attempt, if there is a target and a body for one.
    async fn next_attempt(&mut self) -> Option<BoxFuture<'c, Ended>> {
        let context = self.context;
        loop {
            if let Some(attempt) = self.attempt_local() {
                return Some(attempt);
            }
            if let Some(attempt) = self.attempt_free(false) {
                return Some(attempt);
            }
            // All that are there have no free slot: the request waits at the one with least to do.
            self.add_unasked_targets();
            if let Some(target) = self.least_busy(|_| true) {
                self.waited = true;
                let wait = self.longest_wait();
                let body = self.payload.next()?;
                return Some(self.start_attempt(target, wait, body));
            }
            let now = context.core.clock.now();
            let may_learn_targets = !context.core.ready() || context.core.settles(now);
            if !self.tried.is_empty() || !may_learn_targets || now >= self.owner_deadline {
                return None;
            }
            // A node that was paused, or has just started, hears of the others in a moment.
            sleep(OWNER_RETRY_INTERVAL).await;
        }
    }

    /// Adds targets that were not worth asking to those that had no free slot.
    fn add_unasked_targets(&mut self) {
        let view = self.context.core.view.load();
        let service = view
            .services
            .get(self.context.matched.service.name.as_str());
        let targets = service.iter().flat_map(|s| &s.targets);
        for target in targets.filter(|t| !t.near) {
            if !self.tried.contains(&target.id) {
                self.tried.push(Arc::clone(&target.id));
                self.busy.push(target.clone());
            }
        }
    }

    /// Returns an attempt in this data centre: at a target that has a free slot, as far as is known,
    /// or else, once, at one that will have one soon. Bytes between data centres are dear, and a wait
    /// that still meets the objective costs nothing.
    fn attempt_local(&mut self) -> Option<BoxFuture<'c, Ended>> {
        if let Some(attempt) = self.attempt_free(true) {
            return Some(attempt);
        }
        let context = self.context;
        let share = match context.matched.is_large() {
            true => LARGE_WAIT_SHARE,
            false => LOCAL_WAIT_SHARE,
        };
        let wait = context.objective().mul_f64(share);
        if self.local_waited || wait.is_zero() {
            return None;
        }
        let target = self.least_busy(|t| t.near && !t.failing)?;
        self.local_waited = true;
        let body = self.payload.next()?;
        Some(self.start_attempt(target, wait, body))
    }

    /// Returns an attempt at a target that has a free slot, as far as is known, those of this data
    /// centre first.
    fn attempt_free_anywhere(&mut self) -> Option<BoxFuture<'c, Ended>> {
        self.attempt_free(true).or_else(|| self.attempt_free(false))
    }

    /// Returns an attempt at a target that has a free slot, as far as is known.
    fn attempt_free(&mut self, local_only: bool) -> Option<BoxFuture<'c, Ended>> {
        if !local_only && self.remote_asked == MAX_REMOTE_ASKED {
            return None;
        }
        let ingress = &self.context.core.ingress;
        let target = ingress.choose_target(self.context, &self.tried, local_only)?;
        self.remote_asked += u32::from(!target.near);
        // A body that can be sent once waits where it arrives first.
        let wait = match self.payload.is_buffered() {
            true => Duration::ZERO,
            false => self.longest_wait(),
        };
        let body = self.payload.next()?;
        Some(self.start_attempt(target, wait, body))
    }

    fn longest_wait(&self) -> Duration {
        self.context.remaining().mul_f64(WAIT_SHARE)
    }

    /// Takes the target with least to do of those that had no free slot and fit.
    fn least_busy(&mut self, fits: impl Fn(&TargetView) -> bool) -> Option<TargetView> {
        let now = self.context.core.clock.now();
        let effective_load = |t: &TargetView| {
            let load = t.total(now) / f64::from(t.slots.max(1));
            // One that is far was full, or was not asked and is taken for full.
            let load = if t.near {
                load
            } else {
                load.max(1.0) + REMOTE_LOAD_PENALTY
            };
            let worse = if t.failing { FAILING_LOAD_PENALTY } else { 0.0 };
            load + worse
        };
        let least = (0..self.busy.len())
            .filter(|i| fits(&self.busy[*i]))
            .min_by(|a, b| {
                effective_load(&self.busy[*a]).total_cmp(&effective_load(&self.busy[*b]))
            })?;
        Some(self.busy.swap_remove(least))
    }

    fn start_attempt(
        &mut self,
        target: TargetView,
        wait: Duration,
        body: Body,
    ) -> BoxFuture<'c, Ended> {
        let repeat = self.sent > 0;
        self.hedge_at = match repeat {
            true => None,
            false => self.hedge_time(wait),
        };
        self.number += 1;
        self.sent += 1;
        self.tried.push(Arc::clone(&target.id));
        let (context, number) = (self.context, self.number);
        let rank = Rank {
            outside: context.rank.outside && self.interrupted == Interrupted::Never,
            ..context.rank
        };
        Box::pin(async move {
            let started = context.core.clock.now();
            let (load, slots, near) = (target.total(started), target.slots, target.near);
            let request = (&context.headers, body);
            let ingress = &context.core.ingress;
            let tried = ingress
                .run_attempt(context, &target, (number, repeat, rank), wait, request)
                .await;
            let took = context.core.clock.now().saturating_duration_since(started);
            let (request, result) = (context.request_id.as_str(), tried.result());
            let (id, node) = (&*target.id, &*target.vm.address);
            let (wait_ms, took_ms) = (whole_millis(wait), whole_millis(took));
            spdlog::info!("attempt", kv: { request, number, target = id, node, near, load, slots, wait_ms, result, took_ms });
            (target, tried)
        })
    }

    async fn record_outcome(&mut self, target: &TargetView, tried: AttemptOutcome) -> NextStep {
        let result = match tried {
            AttemptOutcome::RemoteResponse(response, id) if belongs_to(response.headers(), id) => {
                deliver(self.context, target, response.map(box_body)).await
            }
            AttemptOutcome::RemoteResponse(..) => Err(Code::AnswerLost),
            AttemptOutcome::LocalResponse(response) => {
                deliver(self.context, target, response).await
            }
            AttemptOutcome::Unknown(code) => Err(code),
            AttemptOutcome::Refused(code, due) => {
                return self.record_refusal(target, code, due).await;
            }
        };
        match result {
            Ok(response) if response.status().is_server_error() && self.context.idempotent => {
                self.failed = Some(response);
                NextStep::Retry
            }
            Ok(response) => NextStep::Respond(response),
            Err(code) => {
                self.broken = Some(code);
                // A node that ends takes its exchanges with it; that is no reason to stop trying.
                if code == Code::AnswerLost && !egress_stays(self.context, target) {
                    self.sent -= 1;
                    self.interrupted = Interrupted::Now;
                }
                match self.context.idempotent && !self.context.is_expired() {
                    true => NextStep::Retry,
                    false => NextStep::Stop,
                }
            }
        }
    }

    async fn record_refusal(
        &mut self,
        target: &TargetView,
        code: Code,
        due: Option<Duration>,
    ) -> NextStep {
        let context = self.context;
        self.last = (code, due);
        self.refusals += 1;
        match code {
            Code::TargetRefused => {
                // It has not run there, so that it may run at as many targets as before.
                self.sent -= 1;
                let may = context.core.ingress.may_try_elsewhere(context).await;
                return if may {
                    NextStep::TryElsewhere
                } else {
                    NextStep::Stop
                };
            }
            Code::Busy => self.busy.push(target.clone()),
            Code::Ejected if !target.failing => {}
            // It is asked again, and has to take the request, if all others refuse.
            Code::Doubtful | Code::Ejected => self.busy.push(TargetView {
                failing: true,
                ..target.clone()
            }),
            Code::Overloaded if !self.waited => self.busy.push(target.clone()),
            // It has waited its share of the time; what is left is too short for the work.
            Code::Overloaded => {
                self.sent -= 1;
                return NextStep::Stop;
            }
            Code::RateUnreachable if context.core.clock.now() < self.owner_deadline => {
                // A slice that changes hands is away for a moment only.
                sleep(OWNER_RETRY_INTERVAL).await;
                self.tried.clear();
            }
            // The way failed, not the target; a new connection may work.
            Code::Barred => self.tried.retain(|id| *id != target.id),
            _ => {}
        }
        self.sent -= 1;
        match code.allows_other_target() {
            true => NextStep::TryElsewhere,
            false => NextStep::Stop,
        }
    }

    /// Answers for a node that must end before the request does.
    fn abort(self) -> Response<Body> {
        match self.sent == 0 && self.broken.is_none() {
            true => error_response(Code::Stopping, Outcome::NotRun, None),
            false => error_response(Code::AnswerLost, Outcome::Unknown, None),
        }
    }

    /// Answers when no attempt is left. A refusal is told only if no attempt may have run.
    fn fail(self) -> Response<Body> {
        if let Some(response) = self.failed {
            return response;
        }
        let (code, due) = self.last;
        match self.broken {
            Some(code) => error_response(code, Outcome::Unknown, None),
            None => error_response(code, Outcome::NotRun, due),
        }
    }
}
