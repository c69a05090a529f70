//! The lifecycle of one request: which attempts are made, one after another or in parallel, until one of
//! them decides the response.

use std::{
    future::pending,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::Response;
use rand::{Rng, rng};
use tokio::{sync::watch, time::sleep};

use crate::{
    board::TargetView,
    clock::whole_millis,
    fleet::{Body, box_body},
    node::Stops,
    policy::{
        placement::{Outlook, looks_further},
        queue::Rank,
        shutdown::Shutdown,
    },
    proxy::{
        Code, Outcome,
        crossing::Reach,
        delivery::deliver,
        dispatch::{belongs_to, is_egress_active},
        error_response::error_response,
        payload::Payload,
        request_context::{AttemptOutcome, RequestContext},
        version_choice::Versions,
    },
};

/// Maximum number of targets that one request may be sent to, if its route sets no limit.
const MAX_SENT: u32 = 4;

/// Maximum number of refused attempts at one request.
const MAX_REFUSALS: u32 = 24;

/// How long a request waits for an owner of its organisation's rate to become reachable, or for this node
/// to learn of any target.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two tries within [`OWNER_TIMEOUT`].
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the time until the deadline that a request may wait for a slot. The rest is for the work.
const WAIT_SHARE: f64 = 0.6;

/// Share of a route's objective that a request waits for a slot in the local data centre before it is sent
/// to a remote one. Waits up to an eighth of the objective cost users nothing.
const LOCAL_WAIT_SHARE: f64 = 0.125;

/// The share that replaces [`LOCAL_WAIT_SHARE`] for requests with large responses. After such a wait, the work
/// still has as much time as it would have in a remote data centre.
const LARGE_WAIT_SHARE: f64 = 0.5;

/// The share that replaces [`LOCAL_WAIT_SHARE`] where requests leave by price. After such a wait, they are decided on
/// again by newer news.
const PRICED_WAIT_SHARE: f64 = 0.25;

/// Maximum number of remote targets that one request is tried at before it waits for a slot. Each try costs
/// bytes between data centres, and two random choices find a free slot nearly as often as trying all targets.
const MAX_REMOTE_TRIES: u32 = 2;

/// Share of the longest wait within which a refusal is a forecast that the wait would be in vain.
const FORECAST_SHARE: f64 = 0.25;

/// Maximum number of further targets at which a request may wait after a refusal by forecast.
const MAX_FORECAST_REFUSALS: u32 = 1;

/// Added to the load of remote targets, as a share of slots: a request waits at a remote target only if the
/// load of every local one is higher by more than this.
const REMOTE_LOAD_PENALTY: f64 = 0.5;

/// Added to the load of failing targets, as a share of slots: a request waits at a failing target only if the
/// load of every healthy one is higher by more than this. At that load, the healthy ones have more than two
/// rounds of work to do.
const FAILING_LOAD_PENALTY: f64 = 1.5;

/// Share of a route's objective after which an idempotent request is hedged by a second attempt in
/// parallel. A response that takes half of the objective can still arrive in time from another target.
const HEDGE_SHARE: f64 = 0.5;

/// Minimum share of the objective that the first attempt has before it is hedged.
const HEDGE_MIN_SHARE: f64 = 0.35;

/// Maximum number of tries to move one request away from nodes that are shutting down.
const MAX_MOVES: u32 = 8;

/// Pause between two such tries.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);

/// An attempt that has not ended.
struct RunningAttempt {
    target: Arc<str>,
    /// The incarnation of its egress node.
    egress: u64,
    started: Instant,
}

/// The target and the outcome of an attempt that has ended.
type FinishedAttempt = (TargetView, AttemptOutcome);

/// The state of one request over its attempts.
struct Lifecycle<'c> {
    context: &'c RequestContext,
    payload: Payload,
    /// Versions that the first attempt may go to, and those that the others may.
    versions: (Versions, Versions),
    /// Targets that are not chosen while they are in this list; those in `busy` can still take the request.
    excluded: Vec<Arc<str>>,
    /// Targets that had no free slot or refused the request as suspected or ejected. If no other target takes
    /// the request, it waits in the queue of one of them.
    busy: Vec<TargetView>,
    /// Number of attempts made.
    number: u32,
    /// Number of attempts that may have reached a target, which the limits count.
    sent: u32,
    /// Number of attempts that were refused.
    refusals: u32,
    /// Where the request may go.
    reach: Reach,
    /// Whether `reach` was decided on again after a wait.
    redecided: bool,
    /// Random number from 0 to 1 that decides whether the request is of the share that leaves.
    draw: f64,
    /// Number of remote targets that the request was tried at before it waits for a slot.
    remote_tries: u32,
    /// Number of targets that had no free slot although they seemed to.
    busy_tries: u32,
    /// Attempts that have not ended.
    running: Vec<RunningAttempt>,
    /// When the running attempt is hedged by a second one.
    hedge_at: Option<Instant>,
    /// How often a further attempt was begun since the running ones depend on nodes that are shutting down.
    moves: u32,
    /// Before when no such attempt begins.
    move_after: Instant,
    /// Whether such an attempt has been paid for that was refused, or has not begun.
    move_paid: bool,
    /// Until when a refusal by the target at which the request waits for the longest time that it may is a
    /// forecast, and not the end of that wait; `None` until it waits so.
    forecast_until: Option<Instant>,
    /// Number of targets that refused by forecast to let the request wait.
    forecast_refusals: u32,
    /// Whether the request has waited, for a shorter time, at a target of the local data centre.
    local_waited: bool,
    /// Until when the request waits for an owner of its rate to become reachable, or for any target.
    owner_deadline: Instant,
    /// A target's own error response, which is returned if no other attempt does better.
    target_error: Option<Response<Body>>,
    /// The code of the last attempt that ended without a response and may have run.
    unknown: Option<Code>,
    /// Whether the egress node of an attempt ended.
    interruption: Interruption,
    /// The code of the last refusal, which proves that the attempt has not run, and after how long the
    /// caller may try again.
    last_refusal: (Code, Option<Duration>),
}

/// Whether the egress node ended during an attempt at the request. An interrupted request has waited for a
/// slot before, so its next attempts are queued ahead of other requests.
#[derive(PartialEq)]
enum Interruption {
    None,
    /// The last attempt was interrupted; the retry budget can't refuse the next one.
    LastAttempt,
    /// An attempt before the last one was interrupted.
    Earlier,
}

/// What to do after an attempt has ended.
enum NextStep {
    Respond(Response<Body>),
    /// The attempt has not run; another target may take the request.
    TryElsewhere,
    /// The attempt may have run, and the request may be retried.
    Retry,
    /// The request is not tried again because of this attempt.
    Stop,
}

/// Runs a request until it has a response or the node terminates.
pub(super) async fn run(context: &RequestContext, payload: Payload) -> Response<Body> {
    context
        .core
        .ingress
        .retry_budgets
        .earn(&context.matched.service);
    let (core, service) = (&context.core, context.matched.service.name.as_str());
    core.crossing.record_arrival(service, core.clock.now());
    let draw = rng().random();
    let mut lifecycle = Lifecycle {
        reach: core.crossing.decide(context, payload.buffered_len(), draw),
        redecided: false,
        draw,
        context,
        payload,
        versions: choose_versions(context),
        excluded: Vec::new(),
        busy: Vec::new(),
        number: 0,
        sent: 0,
        refusals: 0,
        remote_tries: 0,
        busy_tries: 0,
        running: Vec::new(),
        hedge_at: None,
        moves: 0,
        move_after: context.started,
        move_paid: false,
        forecast_until: None,
        forecast_refusals: 0,
        local_waited: false,
        owner_deadline: context.core.clock.now() + OWNER_TIMEOUT,
        target_error: None,
        unknown: None,
        interruption: Interruption::None,
        last_refusal: (Code::NoTarget, None),
    };
    let response = tokio::select! {
        response = drive(&mut lifecycle) => response,
        () = context.core.wait_for_termination() => None,
    };
    match response {
        Some(response) => response,
        None if context.core.terminating() => lifecycle.abort(),
        None => lifecycle.fail(),
    }
}

fn choose_versions(context: &RequestContext) -> (Versions, Versions) {
    let core = &context.core;
    let exposures = &core.ingress.exposures;
    exposures.choose(core, &context.matched.service.name, core.clock.now())
}

/// The attempts that are driven in parallel.
type RunningAttempts<'c> = FuturesUnordered<BoxFuture<'c, FinishedAttempt>>;

/// What happens next while attempts run.
enum Event {
    Ended(Option<Box<FinishedAttempt>>),
    HedgeDue,
    MoveDue,
    StopsChanged,
}

/// Waits until an attempt ends, until `due`, or until it has changed which nodes are shutting down.
async fn next_event(
    running: &mut RunningAttempts<'_>,
    due: Option<(Duration, Event)>,
    stops: &mut watch::Receiver<Stops>,
) -> Event {
    let timer = async {
        match due {
            Some((left, event)) => {
                sleep(left).await;
                event
            }
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        ended = running.next() => Event::Ended(ended.map(Box::new)),
        event = timer => event,
        Ok(()) = stops.changed() => Event::StopsChanged,
    }
}

/// Makes attempts until one decides the response. Returns `None` when no further attempt may be made.
async fn drive(lifecycle: &mut Lifecycle<'_>) -> Option<Response<Body>> {
    let context = lifecycle.context;
    let mut running: RunningAttempts<'_> = FuturesUnordered::new();
    let mut stops = context.core.watch_stops();
    loop {
        if running.is_empty() {
            let attempt = lifecycle.next_attempt().await?;
            running.push(attempt);
        }
        let due = lifecycle.next_due(&stops.borrow_and_update());
        let ended = match next_event(&mut running, due, &mut stops).await {
            Event::Ended(ended) => ended,
            Event::HedgeDue => {
                running.extend(lifecycle.hedge().await);
                continue;
            }
            Event::MoveDue => {
                running.extend(lifecycle.move_on().await);
                continue;
            }
            Event::StopsChanged => continue,
        };
        let Some((target, outcome)) = ended.map(|ended| *ended) else {
            continue;
        };
        lifecycle.running.retain(|a| a.target != target.id);
        match lifecycle.record_outcome(&target, outcome).await {
            NextStep::Respond(response) => return Some(response),
            // While another attempt runs, the refused one is repeated only at a target with a free slot.
            NextStep::TryElsewhere if !running.is_empty() => {
                running.extend(lifecycle.attempt_free_anywhere());
            }
            NextStep::TryElsewhere
                if lifecycle.refusals < MAX_REFUSALS && !context.is_expired() => {}
            NextStep::Retry | NextStep::Stop if !running.is_empty() => {}
            NextStep::Retry if lifecycle.may_send_again() && lifecycle.acquire_retry().await => {}
            _ => return None,
        }
    }
}

impl<'c> Lifecycle<'c> {
    fn may_send_again(&self) -> bool {
        self.sent < self.context.matched.attempts().unwrap_or(MAX_SENT)
    }

    /// Acquires the right to send the request again after an attempt that may have run, and returns whether it
    /// was granted.
    async fn acquire_retry(&mut self) -> bool {
        let ingress = &self.context.core.ingress;
        match self.interruption {
            Interruption::LastAttempt => {
                self.interruption = Interruption::Earlier;
                ingress.acquire_interrupted_retry(self.context).await
            }
            Interruption::None | Interruption::Earlier => ingress.acquire_retry(self.context).await,
        }
    }

    /// Returns when an attempt that starts now is hedged by a second one. Returns `None` if the request
    /// can't be hedged, or if the attempt may wait long for its slot.
    fn hedge_time(&self, wait: Duration) -> Option<Instant> {
        let objective = self.context.objective();
        let hedgeable = self.context.idempotent && !objective.is_zero();
        let short_wait = wait < objective.mul_f64(HEDGE_MIN_SHARE);
        let usual = self.context.started + objective.mul_f64(HEDGE_SHARE);
        let earliest = self.context.core.clock.now() + objective.mul_f64(HEDGE_MIN_SHARE);
        (hedgeable && short_wait).then_some(usual.max(earliest))
    }

    /// Returns a second attempt to run in parallel to a slow one, or `None` if the request may not be retried, no
    /// target seems to have a free slot, or there is no body to send.
    async fn hedge(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        self.hedge_at = None;
        if !self.may_send_again() || !self.context.core.ingress.acquire_retry(self.context).await {
            return None;
        }
        let request = self.context.request_id.as_str();
        spdlog::info!("hedging a slow attempt", kv: { request });
        self.attempt_free_anywhere()
    }

    /// Returns the next event that time brings, and the time left until then.
    fn next_due(&self, stops: &Stops) -> Option<(Duration, Event)> {
        let hedge = self.hedge_at.map(|at| (at, Event::HedgeDue));
        let moved = self.move_time(stops).map(|at| (at, Event::MoveDue));
        let (at, event) = hedge.into_iter().chain(moved).min_by_key(|(at, _)| *at)?;
        let now = self.context.core.clock.now();
        Some((at.saturating_duration_since(now), event))
    }

    /// Returns when the request is also sent to another target, since this node or those of all running attempts are
    /// shutting down. One attempt more is enough.
    fn move_time(&self, stops: &Stops) -> Option<Instant> {
        let core = &self.context.core;
        if !self.context.idempotent || self.moves == MAX_MOVES {
            return None;
        }
        let move_at = |node: u64| {
            stops.get(&node).map(|signalled| {
                Shutdown {
                    signalled: *signalled,
                    grace: core.settings.grace,
                }
                .move_at()
            })
        };
        let egress: Option<Vec<Instant>> = self.running.iter().map(|a| move_at(a.egress)).collect();
        let egress = egress.and_then(|times| times.into_iter().max());
        let late = self.context.started + self.context.objective().mul_f64(HEDGE_SHARE);
        let own = move_at(core.incarnation).filter(|_| self.running.len() == 1);
        let due = own.map(|at| at.max(late)).into_iter().chain(egress).min()?;
        Some(due.max(self.move_after))
    }

    /// Returns an attempt beside those that depend on nodes that are shutting down. It may wait for its slot, ahead of
    /// other requests: what it waits is lost for the run.
    async fn move_on(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        let ingress = &self.context.core.ingress;
        self.move_after = self.context.core.clock.now() + MOVE_INTERVAL;
        self.moves += 1;
        if !self.may_send_again() {
            return None;
        }
        if !self.move_paid && !ingress.acquire_interrupted_retry(self.context).await {
            return None;
        }
        self.move_paid = true;
        if self.interruption == Interruption::None {
            self.interruption = Interruption::Earlier;
        }
        self.remote_tries = 0;
        if let Some(attempt) = self.attempt_free_anywhere() {
            return Some(attempt);
        }
        self.add_untried_targets(true);
        self.add_untried_targets(false);
        let target = self.take_least_busy(|t| is_egress_active(self.context, t))?;
        let body = self.payload.next_body()?;
        Some(self.start_attempt(target, self.longest_wait(), body))
    }

    /// Returns the next attempt, or `None` if there is no target or no body for one.
    async fn next_attempt(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        let context = self.context;
        if matches!(self.versions(), Versions::Only(_)) {
            if let Some(attempt) = self.attempt_free_anywhere() {
                return Some(attempt);
            }
            // Without a free target of the new version, the request is not exposed.
            self.versions.0 = self.versions.1.clone();
        }
        self.update_reach();
        loop {
            if let Some(attempt) = self.attempt_leaving().or_else(|| self.attempt_local()) {
                return Some(attempt);
            }
            let reach = self.reach.clone();
            if reach == Reach::Anywhere {
                if let Some(attempt) = self.attempt_free(&reach) {
                    return Some(attempt);
                }
                self.add_untried_targets(false);
            }
            // No target has a free slot: the request waits at the least loaded one.
            if self.places_by_forecast() {
                self.add_untried_targets(true);
            }
            if let Some(target) = self.take_least_busy(|t| reach.includes(t)) {
                let wait = self.longest_wait();
                self.forecast_until = Some(context.core.clock.now() + wait.mul_f64(FORECAST_SHARE));
                let body = self.payload.next_body()?;
                return Some(self.start_attempt(target, wait, body));
            }
            if reach != Reach::Anywhere {
                self.reach = Reach::Anywhere;
                continue;
            }
            let now = context.core.clock.now();
            let may_learn_targets = !context.core.ready() || context.core.discovering(now);
            if !self.excluded.is_empty() || !may_learn_targets || now >= self.owner_deadline {
                return None;
            }
            // A node that was paused or has just started will learn of the targets shortly.
            sleep(OWNER_RETRY_INTERVAL).await;
        }
    }

    /// Returns whether requests for the service are placed by what is known of its targets.
    fn places_by_forecast(&self) -> bool {
        self.context.matched.service.stated_slots
    }

    /// Returns what is known of a target, if requests for the service are placed by it.
    fn outlook(&self, target: &TargetView) -> Option<Outlook> {
        let context = self.context;
        if !self.places_by_forecast() {
            return None;
        }
        let now = context.core.clock.now();
        let view = context.core.view.load();
        let service = view.services.get(context.matched.service.name.as_str())?;
        Some(target.outlook(service.usual_load(now), context.tolerates_suspicion(), now))
    }

    /// Returns whether the request looks for another target with a free slot before it joins a queue.
    fn looks_further(&self) -> bool {
        !self.places_by_forecast() || looks_further(self.busy_tries)
    }

    /// Decides again where the request may go once it has waited at home. A repeat may go anywhere.
    fn update_reach(&mut self) {
        if self.sent > 0 {
            self.reach = Reach::Anywhere;
        }
        if self.reach == Reach::Home && self.local_waited && !self.redecided {
            self.redecided = true;
            let crossing = &self.context.core.crossing;
            let body = self.payload.buffered_len();
            self.reach = crossing.decide(self.context, body, self.draw);
        }
    }

    /// Returns an attempt in the data centre that the request leaves for, if it does. After some refusals the request
    /// stays.
    fn attempt_leaving(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        if !matches!(self.reach, Reach::Leaves(_)) {
            return None;
        }
        let attempt = self.attempt_free(&self.reach.clone());
        if attempt.is_none() {
            self.reach = Reach::Home;
        }
        attempt
    }

    /// Adds targets of the local data centre or of the others that were not tried, since they seemed full or failing
    /// or since the request was tried at enough others, to the busy ones.
    fn add_untried_targets(&mut self, local: bool) {
        let view = self.context.core.view.load();
        let service = view
            .services
            .get(self.context.matched.service.name.as_str());
        let targets = service.iter().flat_map(|s| &s.targets);
        let versions = self.versions().clone();
        for target in targets.filter(|t| t.local == local && versions.allow(t)) {
            if !self.excluded.contains(&target.id) {
                self.excluded.push(Arc::clone(&target.id));
                self.busy.push(target.clone());
            }
        }
    }

    /// Returns an attempt in the local data centre: at a target that seems to have a free slot, or else,
    /// once per request, in the queue of a busy one. Traffic between data centres is expensive, and a wait
    /// that still meets the objective costs nothing.
    fn attempt_local(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        if self.looks_further()
            && let Some(attempt) = self.attempt_free(&Reach::Home)
        {
            return Some(attempt);
        }
        let context = self.context;
        let share = match (&self.reach, context.matched.is_large()) {
            (Reach::Anywhere, true) => LARGE_WAIT_SHARE,
            (Reach::Anywhere, false) => LOCAL_WAIT_SHARE,
            _ => PRICED_WAIT_SHARE,
        };
        let wait = context.objective().mul_f64(share);
        if self.local_waited || wait.is_zero() {
            return None;
        }
        if self.places_by_forecast() {
            self.add_untried_targets(true);
        }
        let doubted = |t: &TargetView| self.outlook(t).is_some_and(|o| o.doubted);
        let doubted: Vec<Arc<str>> = self
            .busy
            .iter()
            .filter(|t| doubted(t))
            .map(|t| Arc::clone(&t.id))
            .collect();
        let target = self.take_least_busy(|t| t.local && !t.failing && !doubted.contains(&t.id))?;
        self.local_waited = true;
        let body = self.payload.next_body()?;
        Some(self.start_attempt(target, wait, body))
    }

    /// Returns an attempt at a target that seems to have a free slot, preferring the local data centre.
    fn attempt_free_anywhere(&mut self) -> Option<BoxFuture<'c, FinishedAttempt>> {
        self.attempt_free(&Reach::Home)
            .or_else(|| self.attempt_free(&Reach::Anywhere))
    }

    /// Returns an attempt at a target that seems to have a free slot, where `reach` allows it.
    fn attempt_free(&mut self, reach: &Reach) -> Option<BoxFuture<'c, FinishedAttempt>> {
        if *reach != Reach::Home && self.remote_tries == MAX_REMOTE_TRIES {
            return None;
        }
        let ingress = &self.context.core.ingress;
        let versions = self.versions();
        let target = ingress.choose_target(self.context, versions, &self.excluded, reach)?;
        self.remote_tries += u32::from(!target.local);
        // A streamed body can be sent only once, so the request waits at the first target that it reaches.
        let wait = match self.payload.is_buffered() {
            true => Duration::ZERO,
            false => self.longest_wait(),
        };
        let body = self.payload.next_body()?;
        Some(self.start_attempt(target, wait, body))
    }

    /// Returns the versions that the next attempt may go to.
    fn versions(&self) -> &Versions {
        match self.number {
            0 => &self.versions.0,
            _ => &self.versions.1,
        }
    }

    /// Returns whether the request may wait at another target after one refused to let it wait.
    fn may_wait_elsewhere(&self) -> bool {
        let now = self.context.core.clock.now();
        self.forecast_refusals < MAX_FORECAST_REFUSALS
            && self.forecast_until.is_some_and(|until| now < until)
    }

    /// Returns the longest time that the request may wait for a slot from now.
    fn longest_wait(&self) -> Duration {
        self.context.remaining().mul_f64(WAIT_SHARE)
    }

    /// Removes the least loaded one of the busy targets for which `allowed` returns true, and returns it.
    fn take_least_busy(&mut self, allowed: impl Fn(&TargetView) -> bool) -> Option<TargetView> {
        let now = self.context.core.clock.now();
        let effective_load = |t: &TargetView| {
            let load = match self.outlook(t) {
                Some(outlook) => outlook.rounds(),
                None => t.load_estimate(now) / f64::from(t.slots.max(1)),
            };
            // A remote target was full when it was tried, or was not tried and is treated as full.
            let load = if t.local {
                load
            } else {
                load.max(1.0) + REMOTE_LOAD_PENALTY
            };
            let penalty = if t.failing { FAILING_LOAD_PENALTY } else { 0.0 };
            load + penalty
        };
        let index = (0..self.busy.len())
            .filter(|i| allowed(&self.busy[*i]) && self.versions().allow(&self.busy[*i]))
            .min_by(|a, b| {
                effective_load(&self.busy[*a]).total_cmp(&effective_load(&self.busy[*b]))
            })?;
        Some(self.busy.swap_remove(index))
    }

    /// Returns an attempt at a target, in whose queue it may wait for up to `wait`, and counts it as made.
    fn start_attempt(
        &mut self,
        target: TargetView,
        wait: Duration,
        body: Body,
    ) -> BoxFuture<'c, FinishedAttempt> {
        let repeat = self.sent > 0;
        self.hedge_at = match repeat {
            true => None,
            false => self.hedge_time(wait),
        };
        self.number += 1;
        self.sent += 1;
        self.excluded.push(Arc::clone(&target.id));
        self.running.push(RunningAttempt {
            target: Arc::clone(&target.id),
            egress: target.vm.incarnation,
            started: self.context.core.clock.now(),
        });
        let (context, number) = (self.context, self.number);
        let rank = Rank {
            external: context.rank.external && self.interruption == Interruption::None,
            ..context.rank
        };
        Box::pin(async move {
            let started = context.core.clock.now();
            let (load, slots, local) = (target.load_estimate(started), target.slots, target.local);
            let request = (&context.headers, body);
            let ingress = &context.core.ingress;
            let outcome = ingress
                .run_attempt(context, &target, (number, repeat, rank), wait, request)
                .await;
            let took = context.core.clock.now().saturating_duration_since(started);
            let (request, result) = (context.request_id.as_str(), outcome.name());
            let (id, node) = (&*target.id, &*target.vm.address);
            let (wait_ms, took_ms) = (whole_millis(wait), whole_millis(took));
            spdlog::info!("attempt finished", kv: { request, number, target = id, node, near = local, load, slots, wait_ms, result, took_ms });
            (target, outcome)
        })
    }

    /// Records the outcome of an attempt and returns what to do next.
    async fn record_outcome(&mut self, target: &TargetView, outcome: AttemptOutcome) -> NextStep {
        let result = match outcome {
            AttemptOutcome::RemoteResponse(response, id) if belongs_to(response.headers(), id) => {
                deliver(self.context, target, response.map(box_body)).await
            }
            AttemptOutcome::RemoteResponse(..) => Err(Code::AnswerLost),
            AttemptOutcome::LocalResponse(response) => {
                deliver(self.context, target, response).await
            }
            AttemptOutcome::Unknown(code) => Err(code),
            AttemptOutcome::Refused(code, retry_after) => {
                return self.record_refusal(target, code, retry_after).await;
            }
        };
        self.move_paid = false;
        match result {
            Ok(response) if response.status().is_server_error() && self.context.idempotent => {
                self.target_error = Some(response);
                NextStep::Retry
            }
            Ok(response) => NextStep::Respond(response),
            Err(code) => {
                self.unknown = Some(code);
                // The egress node ended and broke its exchanges. The attempt doesn't count, since neither
                // the request nor its target caused that.
                if code == Code::AnswerLost && !is_egress_active(self.context, target) {
                    self.sent -= 1;
                    self.interruption = Interruption::LastAttempt;
                }
                match self.context.idempotent && !self.context.is_expired() {
                    true => NextStep::Retry,
                    false => NextStep::Stop,
                }
            }
        }
    }

    /// Records that an attempt was refused without having run, and returns what to do next.
    async fn record_refusal(
        &mut self,
        target: &TargetView,
        code: Code,
        retry_after: Option<Duration>,
    ) -> NextStep {
        let context = self.context;
        self.last_refusal = (code, retry_after);
        self.refusals += 1;
        if let Some(doubt) = code.doubt() {
            target.load.record_doubt(doubt, context.core.clock.now());
        }
        match code {
            Code::TargetRefused => {
                self.move_paid = false;
                // The request has not run at this target, so the target doesn't count towards the limit.
                self.sent -= 1;
                let allowed = context.core.ingress.acquire_other_target(context).await;
                return if allowed {
                    NextStep::TryElsewhere
                } else {
                    NextStep::Stop
                };
            }
            Code::Busy => {
                self.busy_tries += 1;
                self.busy.push(target.clone());
            }
            Code::Ejected if !target.failing => {}
            // If all others refuse, the request is sent to this target again, marked as failing, and the target
            // then has to take it.
            Code::Doubtful | Code::Ejected => self.busy.push(TargetView {
                failing: true,
                ..target.clone()
            }),
            Code::Overloaded if self.forecast_until.is_none() => self.busy.push(target.clone()),
            Code::Overloaded if self.may_wait_elsewhere() => self.forecast_refusals += 1,
            // The request has waited for its share of the time, and the rest is too short for the work.
            Code::Overloaded => {
                self.sent -= 1;
                return NextStep::Stop;
            }
            Code::RateUnreachable if context.core.clock.now() < self.owner_deadline => {
                // A slice that moves to another owner is unreachable for a short time only.
                sleep(OWNER_RETRY_INTERVAL).await;
                self.excluded.clear();
            }
            // The connection failed, not the target; the attempt may succeed over a new connection.
            Code::Barred => self.excluded.retain(|id| *id != target.id),
            _ => {}
        }
        self.sent -= 1;
        match code.allows_other_target() {
            true => NextStep::TryElsewhere,
            false => NextStep::Stop,
        }
    }

    /// Logs the attempts of a request that are broken off because this node terminates.
    fn log_broken_off(&self) {
        let now = self.context.core.clock.now();
        let request = self.context.request_id.as_str();
        for attempt in &self.running {
            let (target, egress) = (&*attempt.target, attempt.egress);
            let runs_ms = whole_millis(now.saturating_duration_since(attempt.started));
            spdlog::warn!("attempt is broken off since the node ends", kv: { request, target, egress, runs_ms });
        }
    }

    /// Returns the response for a request that is still running when the node terminates.
    fn abort(self) -> Response<Body> {
        self.log_broken_off();
        match self.sent == 0 && self.unknown.is_none() {
            true => error_response(Code::Stopping, Outcome::NotRun, None),
            false => error_response(Code::AnswerLost, Outcome::Unknown, None),
        }
    }

    /// Returns the response for a request without a successful attempt: a target's own error response if there is
    /// one. A refusal is returned only if no attempt may have run.
    fn fail(self) -> Response<Body> {
        if let Some(response) = self.target_error {
            return response;
        }
        let (code, retry_after) = self.last_refusal;
        match self.unknown {
            Some(code) => error_response(code, Outcome::Unknown, None),
            None => error_response(code, Outcome::NotRun, retry_after),
        }
    }
}
