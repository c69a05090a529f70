//! The course of one request: which attempts are made, one after another or beside each other, until
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
        answer::refuse,
        delivery::deliver,
        dispatch::{echoes, guard_stays},
        job::{Job, Tried, whole_millis},
        payload::Payload,
    },
};

/// Targets that one request may be sent to where its route does not bound that.
const MOST_SENT: u32 = 4;

/// Attempts at one request that guards may refuse without sending them on.
const MOST_REFUSALS: u32 = 24;

/// How long a request waits for a keeper of its organisation's rate, and how often it asks again.
const KEEPER_PATIENCE: Duration = Duration::from_secs(2);
const KEEPER_PAUSE: Duration = Duration::from_millis(100);

/// Share of the time until the deadline that a request may wait for a slot; what is left is for the
/// work itself.
const WAIT_SHARE: f64 = 0.6;

/// Share of a route's objective that a request waits for a slot in its own data centre before it goes
/// to another one: waits up to an eighth of the objective cost users nothing.
const NEAR_WAIT_SHARE: f64 = 0.125;

/// The same for requests with large answers: a wait that leaves the work as much time as it has
/// elsewhere.
const LARGE_WAIT_SHARE: f64 = 0.5;

/// Far targets that one request asks for a free slot before it waits. Each question costs bytes between
/// data centres, and two random choices find a free slot nearly as often as all of them.
const MOST_FAR_ASKED: u32 = 2;

/// How much more there must be to do at a near target, as a share of its slots, for a request to wait
/// at a far one instead.
const FAR_LOAD: f64 = 0.5;

/// How much more there must be to do at targets that seem well, as a share of their slots, for a
/// request to be tried at one that seems to fail: more than two rounds of work.
const FAILING_LOAD: f64 = 1.5;

/// Share of a route's objective after which an idempotent request is tried a second time beside the
/// first, and the share that the first has at least: an answer that takes half of the objective can
/// still come in time from elsewhere.
const SECOND_AFTER: f64 = 0.5;
const FIRST_HAS: f64 = 0.35;

/// An attempt that ended, at the target and with the number that it had.
type Ended = (TargetView, Tried);

/// What a request has been through.
struct Course<'j> {
    job: &'j Job,
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
    far_asked: u32,
    /// When a second attempt is due beside the one that runs.
    second: Option<Instant>,
    /// Whether a target was asked to keep the request waiting as long as it may.
    waited: bool,
    /// Whether one of this data centre was asked to keep it waiting for a moment.
    near_waited: bool,
    patient_until: Instant,
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
enum Next {
    Answer(Response<Body>),
    /// Nothing reached a target; another may take the request.
    Elsewhere,
    /// It may have run, and may be repeated.
    Repeat,
    Stop,
}

/// Runs a request to its answer, or to the end of the node.
pub(super) async fn run(job: &Job, payload: Payload) -> Response<Body> {
    job.core.entry.repeats.earn(&job.matched.service);
    let mut course = Course {
        job,
        payload,
        tried: Vec::new(),
        busy: Vec::new(),
        number: 0,
        sent: 0,
        refusals: 0,
        far_asked: 0,
        second: None,
        waited: false,
        near_waited: false,
        patient_until: job.core.clock.now() + KEEPER_PATIENCE,
        failed: None,
        broken: None,
        interrupted: Interrupted::Never,
        last: (Code::NoTarget, None),
    };
    let answer = tokio::select! {
        answer = drive(&mut course) => answer,
        () = job.core.ending() => None,
    };
    match answer {
        Some(answer) => answer,
        None if job.core.ends() => course.break_off(),
        None => course.give_up(),
    }
}

/// Makes attempts until one decides the answer, or none is left to be made.
async fn drive(course: &mut Course<'_>) -> Option<Response<Body>> {
    let job = course.job;
    let mut running: FuturesUnordered<BoxFuture<'_, Ended>> = FuturesUnordered::new();
    loop {
        if running.is_empty() {
            let attempt = course.next().await?;
            running.push(attempt);
        }
        let wait = course
            .second
            .map(|at| at.saturating_duration_since(job.core.clock.now()));
        let ended = match wait {
            None => running.next().await,
            Some(wait) => match timeout(wait, running.next()).await {
                Ok(ended) => ended,
                Err(_) => {
                    running.extend(course.second().await);
                    continue;
                }
            },
        };
        let Some((target, tried)) = ended else {
            continue;
        };
        match course.take_up(&target, tried).await {
            Next::Answer(response) => return Some(response),
            // What was to run beside another attempt runs elsewhere, if there is a free slot.
            Next::Elsewhere if !running.is_empty() => running.extend(course.beside()),
            Next::Elsewhere if course.refusals < MOST_REFUSALS && !job.over() => {}
            Next::Repeat | Next::Stop if !running.is_empty() => {}
            Next::Repeat if course.may_send() && course.may_repeat().await => {}
            _ => return None,
        }
    }
}

impl<'j> Course<'j> {
    fn may_send(&self) -> bool {
        self.sent < self.job.matched.attempts().unwrap_or(MOST_SENT)
    }

    /// Tells whether the request may run again, after it may have run.
    async fn may_repeat(&mut self) -> bool {
        let entry = &self.job.core.entry;
        match self.interrupted {
            Interrupted::Now => {
                self.interrupted = Interrupted::Before;
                entry.repeat_interrupted(self.job).await
            }
            Interrupted::Never | Interrupted::Before => entry.may_repeat(self.job).await,
        }
    }

    /// Returns when a second attempt is due beside one that starts now, if ever: not beside one that
    /// waits long for its slot.
    fn second_after(&self, wait: Duration) -> Option<Instant> {
        let objective = self.job.objective();
        let useful = self.job.idempotent && !objective.is_zero();
        let soon = wait < objective.mul_f64(FIRST_HAS);
        let due = self.job.begun + objective.mul_f64(SECOND_AFTER);
        let first = self.job.core.clock.now() + objective.mul_f64(FIRST_HAS);
        (useful && soon).then_some(due.max(first))
    }

    /// Returns an attempt beside one that takes long, if the budget has one.
    async fn second(&mut self) -> Option<BoxFuture<'j, Ended>> {
        self.second = None;
        if !self.may_send() || !self.job.core.entry.may_repeat(self.job).await {
            return None;
        }
        let request = self.job.name.as_str();
        spdlog::info!("second attempt beside a slow one", kv: { request });
        self.beside()
    }

    /// Returns the next attempt, if there is a target and a body for one.
    async fn next(&mut self) -> Option<BoxFuture<'j, Ended>> {
        let job = self.job;
        loop {
            if let Some(attempt) = self.near() {
                return Some(attempt);
            }
            if let Some(attempt) = self.free(false) {
                return Some(attempt);
            }
            // All that are there have no free slot: the request waits at the one with least to do.
            self.add_unasked();
            if let Some(target) = self.least_busy(|_| true) {
                self.waited = true;
                let wait = self.longest_wait();
                let body = self.payload.next()?;
                return Some(self.start(target, wait, body));
            }
            let now = job.core.clock.now();
            let may_hear = !job.core.ready() || job.core.settles(now);
            if !self.tried.is_empty() || !may_hear || now >= self.patient_until {
                return None;
            }
            // A node that was paused, or has just started, hears of the others in a moment.
            sleep(KEEPER_PAUSE).await;
        }
    }

    /// Adds targets that were not worth asking to those that had no free slot.
    fn add_unasked(&mut self) {
        let view = self.job.core.view.load();
        let service = view.services.get(self.job.matched.service.name.as_str());
        let targets = service.iter().flat_map(|s| &s.targets);
        for target in targets.filter(|t| !t.local) {
            if !self.tried.contains(&target.id) {
                self.tried.push(Arc::clone(&target.id));
                self.busy.push(target.clone());
            }
        }
    }

    /// Returns an attempt in this data centre: at a target that has a free slot, as far as is known,
    /// or else, once, at one that will have one soon. Bytes between data centres are dear, and a wait
    /// that still meets the objective costs nothing.
    fn near(&mut self) -> Option<BoxFuture<'j, Ended>> {
        if let Some(attempt) = self.free(true) {
            return Some(attempt);
        }
        let job = self.job;
        let share = match job.matched.is_large() {
            true => LARGE_WAIT_SHARE,
            false => NEAR_WAIT_SHARE,
        };
        let wait = job.objective().mul_f64(share);
        if self.near_waited || wait.is_zero() {
            return None;
        }
        let target = self.least_busy(|t| t.local && !t.failing)?;
        self.near_waited = true;
        let body = self.payload.next()?;
        Some(self.start(target, wait, body))
    }

    /// Returns an attempt at a target that has a free slot, as far as is known, those of this data
    /// centre first.
    fn beside(&mut self) -> Option<BoxFuture<'j, Ended>> {
        self.free(true).or_else(|| self.free(false))
    }

    /// Returns an attempt at a target that has a free slot, as far as is known.
    fn free(&mut self, near_only: bool) -> Option<BoxFuture<'j, Ended>> {
        if !near_only && self.far_asked == MOST_FAR_ASKED {
            return None;
        }
        let entry = &self.job.core.entry;
        let target = entry.choose(self.job, &self.tried, near_only)?;
        self.far_asked += u32::from(!target.local);
        // A body that can be sent once waits where it arrives first.
        let wait = match self.payload.is_held() {
            true => Duration::ZERO,
            false => self.longest_wait(),
        };
        let body = self.payload.next()?;
        Some(self.start(target, wait, body))
    }

    fn longest_wait(&self) -> Duration {
        self.job.left().mul_f64(WAIT_SHARE)
    }

    /// Takes the target with least to do of those that had no free slot and fit.
    fn least_busy(&mut self, fits: impl Fn(&TargetView) -> bool) -> Option<TargetView> {
        let now = self.job.core.clock.now();
        let to_do = |t: &TargetView| {
            let load = t.load_estimate(now) / f64::from(t.slots.max(1));
            // One that is far was full, or was not asked and is taken for full.
            let load = if t.local {
                load
            } else {
                load.max(1.0) + FAR_LOAD
            };
            let worse = if t.failing { FAILING_LOAD } else { 0.0 };
            load + worse
        };
        let least = (0..self.busy.len())
            .filter(|i| fits(&self.busy[*i]))
            .min_by(|a, b| to_do(&self.busy[*a]).total_cmp(&to_do(&self.busy[*b])))?;
        Some(self.busy.swap_remove(least))
    }

    fn start(&mut self, target: TargetView, wait: Duration, body: Body) -> BoxFuture<'j, Ended> {
        let repeat = self.sent > 0;
        self.second = match repeat {
            true => None,
            false => self.second_after(wait),
        };
        self.number += 1;
        self.sent += 1;
        self.tried.push(Arc::clone(&target.id));
        let (job, number) = (self.job, self.number);
        let rank = Rank {
            external: job.rank.external && self.interrupted == Interrupted::Never,
            ..job.rank
        };
        Box::pin(async move {
            let begun = job.core.clock.now();
            let (load, slots, near) = (target.load_estimate(begun), target.slots, target.local);
            let request = (&job.headers, body);
            let entry = &job.core.entry;
            let tried = entry
                .attempt(job, &target, (number, repeat, rank), wait, request)
                .await;
            let took = job.core.clock.now().saturating_duration_since(begun);
            let (request, result) = (job.name.as_str(), tried.result());
            let (id, node) = (&*target.id, &*target.vm.address);
            let (wait_ms, took_ms) = (whole_millis(wait), whole_millis(took));
            spdlog::info!("attempt", kv: { request, number, target = id, node, near, load, slots, wait_ms, result, took_ms });
            (target, tried)
        })
    }

    async fn take_up(&mut self, target: &TargetView, tried: Tried) -> Next {
        let result = match tried {
            Tried::Answer(response, id) if echoes(response.headers(), id) => {
                deliver(self.job, target, response.map(box_body)).await
            }
            Tried::Answer(..) => Err(Code::AnswerLost),
            Tried::Local(response) => deliver(self.job, target, response).await,
            Tried::Broken(code) => Err(code),
            Tried::Refused(code, due) => return self.refused(target, code, due).await,
        };
        match result {
            Ok(response) if response.status().is_server_error() && self.job.idempotent => {
                self.failed = Some(response);
                Next::Repeat
            }
            Ok(response) => Next::Answer(response),
            Err(code) => {
                self.broken = Some(code);
                // A node that ends takes its exchanges with it; that is no reason to stop trying.
                if code == Code::AnswerLost && !guard_stays(self.job, target) {
                    self.sent -= 1;
                    self.interrupted = Interrupted::Now;
                }
                match self.job.idempotent && !self.job.over() {
                    true => Next::Repeat,
                    false => Next::Stop,
                }
            }
        }
    }

    async fn refused(&mut self, target: &TargetView, code: Code, due: Option<Duration>) -> Next {
        let job = self.job;
        self.last = (code, due);
        self.refusals += 1;
        match code {
            Code::TargetRefused => {
                // It has not run there, so that it may run at as many targets as before.
                self.sent -= 1;
                let may = job.core.entry.may_go_elsewhere(job).await;
                return if may { Next::Elsewhere } else { Next::Stop };
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
                return Next::Stop;
            }
            Code::RateUnreachable if job.core.clock.now() < self.patient_until => {
                // A slice that changes hands is away for a moment only.
                sleep(KEEPER_PAUSE).await;
                self.tried.clear();
            }
            // The way failed, not the target; a new connection may work.
            Code::Barred => self.tried.retain(|id| *id != target.id),
            _ => {}
        }
        self.sent -= 1;
        match code.elsewhere() {
            true => Next::Elsewhere,
            false => Next::Stop,
        }
    }

    /// Answers for a node that must end before the request does.
    fn break_off(self) -> Response<Body> {
        match self.sent == 0 && self.broken.is_none() {
            true => refuse(Code::Stopping, Outcome::NotRun, None),
            false => refuse(Code::AnswerLost, Outcome::Unknown, None),
        }
    }

    /// Answers when no attempt is left. A refusal is told only if no attempt may have run.
    fn give_up(self) -> Response<Body> {
        if let Some(response) = self.failed {
            return response;
        }
        let (code, due) = self.last;
        match self.broken {
            Some(code) => refuse(code, Outcome::Unknown, None),
            None => refuse(code, Outcome::NotRun, due),
        }
    }
}
