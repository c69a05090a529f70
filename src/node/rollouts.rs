//! Conducts roll-outs: the deciding node compares the versions and moves from step to step, and every node applies the
//! step to its targets; see [docs/decisions/6-rollouts.md](../../docs/decisions/6-rollouts.md).

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::interval;

use crate::{
    clock::whole_millis,
    feed::{Feed, OrderRow, Reading, RolloutState, StatusWrite},
    fleet::codec::{ClassTally, RolloutNews, RolloutStep, TargetRecord, TargetReport, TargetState},
    node::{Core, Shared},
    policy::{
        rollout::{Order, Rollout, Rollouts, Situation, Step, Tallies, Use, merge},
        suspicion::LatencyClass,
        verdict::{History, Tally, TargetTally, Verdict},
    },
    proxy::Participation,
};

/// How often steps are applied to targets, and decided.
const INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two writes of the status of a service. It leaves time to read the store after a write.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long a report counts. Nodes report every half second on average.
const REPORT_VALIDITY: Duration = Duration::from_secs(5);

/// The newest report on each target.
#[derive(Debug, Default)]
pub(super) struct Reports(HashMap<String, Report>);

#[derive(Debug)]
struct Report {
    content: TargetReport,
    /// Whether it came from the node of the target, in this data centre.
    local: bool,
    at: Instant,
}

impl Reports {
    pub(super) fn record(&mut self, reports: &[TargetReport], local: bool, at: Instant) {
        for content in reports {
            let report = Report {
                content: content.clone(),
                local,
                at,
            };
            self.0.insert(content.target.clone(), report);
        }
    }

    /// Returns the reports of this data centre, for other ones.
    pub(super) fn local(&self, now: Instant) -> Vec<TargetReport> {
        let valid = |r: &&Report| r.local && now < r.at + REPORT_VALIDITY;
        let reports = self.0.values().filter(valid);
        reports.map(|r| r.content.clone()).collect()
    }

    /// Returns the newest report on a target for an order.
    fn of(&self, target: &str, order: &Order, now: Instant) -> Option<&TargetReport> {
        let report = self.0.get(target)?;
        let valid = now < report.at + REPORT_VALIDITY && report.content.revision == order.revision;
        valid.then_some(&report.content)
    }

    /// Returns whether every report on a target of another version says that it is closed and idle.
    fn are_old_idle(&self, order: &Order, now: Instant) -> bool {
        let reports = self.0.values().filter(|r| now < r.at + REPORT_VALIDITY);
        let contents = reports.map(|r| &r.content);
        contents
            .filter(|r| r.service == order.service && r.version != order.version)
            .all(|r| r.closed && r.open == 0)
    }

    /// Removes reports that no longer count.
    fn sweep(&mut self, now: Instant) {
        self.0.retain(|_, r| now < r.at + REPORT_VALIDITY);
    }
}

/// What the deciding node remembers about a roll-out.
struct Conduct {
    revision: u64,
    history: History,
    /// The step for which `answers_before` was counted.
    sequence: u64,
    answers_before: u64,
    next_write: Instant,
}

/// Applies and decides roll-outs until the process ends.
pub async fn conduct(core: Arc<Core>, feed: Feed) {
    let mut ticks = interval(INTERVAL);
    let mut conducts: HashMap<String, Conduct> = HashMap::new();
    loop {
        ticks.tick().await;
        let rollouts = core.rollouts.load_full();
        if rollouts.is_empty() {
            continue;
        }
        core.apply_steps(&rollouts);
        if !core.decides_rollouts() {
            conducts.clear();
            continue;
        }
        for rollout in rollouts.values() {
            let conduct = conducts
                .entry(rollout.order.service.clone())
                .or_insert_with(|| Conduct::new(rollout, core.clock.now()));
            if conduct.revision != rollout.order.revision {
                *conduct = Conduct::new(rollout, core.clock.now());
            }
            decide(&core, &feed, rollout, conduct).await;
        }
    }
}

impl Conduct {
    fn new(rollout: &Rollout, now: Instant) -> Self {
        Self {
            revision: rollout.order.revision,
            history: History::default(),
            sequence: rollout.sequence,
            answers_before: 0,
            next_write: now,
        }
    }
}

/// Takes the next step of a roll-out if it is due, and writes the status if the store has another one.
async fn decide(core: &Core, feed: &Feed, rollout: &Rollout, conduct: &mut Conduct) {
    let now = core.clock.now();
    let tallies = core.shared().tallies(&rollout.order, now);
    let situation = observe(core, rollout, &tallies, conduct, now);
    let next = rollout.next_step(&situation, now);
    let state = match next.map_or(rollout.step, |(step, _)| step) {
        Step::Complete => RolloutState::Complete,
        Step::Reverted => RolloutState::Reverted,
        Step::Trial | Step::Ramp | Step::Whole => RolloutState::Running,
    };
    if let Some((step, reason)) = next
        && step != Step::Complete
    {
        core.take_step(rollout, step, reason, &tallies, now);
    }
    let written = write_status(core, feed, rollout, state, conduct).await;
    // Old targets stop as soon as the status says so, and must not be reopened by another node before.
    if written && let Some((Step::Complete, reason)) = next {
        core.take_step(rollout, Step::Complete, reason, &tallies, core.clock.now());
    }
}

fn observe(
    core: &Core,
    rollout: &Rollout,
    tallies: &[TargetTally],
    conduct: &mut Conduct,
    now: Instant,
) -> Situation {
    let new = tallies.iter().filter(|t| t.new);
    let answers = new
        .flat_map(|t| t.classes.values())
        .map(|t| t.answers)
        .sum();
    if conduct.sequence != rollout.sequence {
        conduct.sequence = rollout.sequence;
        conduct.answers_before = answers;
    }
    let verdict = match rollout.step.is_final() {
        true => Verdict::NotBad,
        false => conduct.history.judge(tallies, now),
    };
    let shared = core.shared();
    let (new_slots, old_slots) = shared.warm_slots(&rollout.order);
    Situation {
        withdrawn: shared.is_withdrawn(&rollout.order),
        fresh: shared.freshness.is_fresh(now),
        verdict,
        answers,
        answers_before: conduct.answers_before,
        new_slots,
        old_slots,
        old_targets: shared.count_old(&rollout.order),
        old_idle: shared.is_old_idle(&rollout.order, now),
    }
}

/// Writes the status of a roll-out unless the store has it, and returns whether the store has it now.
async fn write_status(
    core: &Core,
    feed: &Feed,
    rollout: &Rollout,
    state: RolloutState,
    conduct: &mut Conduct,
) -> bool {
    let Some(row) = core.shared().order_row(&rollout.order) else {
        return false;
    };
    if row.state() == Some(state) {
        return true;
    }
    let ended = row.state().is_some_and(|s| s != RolloutState::Running);
    let now = core.clock.now();
    if ended || now < conduct.next_write {
        return false;
    }
    conduct.next_write = now + WRITE_INTERVAL;
    let write = StatusWrite {
        service: rollout.order.service.clone(),
        state,
        version: rollout.order.version.clone(),
        replaces: row.status.map_or(0, |s| s.revision),
    };
    let result = (feed.write_status)(write).await;
    core.request_read();
    let (service, version) = (
        rollout.order.service.as_str(),
        rollout.order.version.as_str(),
    );
    let state = format!("{state:?}");
    match result {
        Ok(true) => {
            spdlog::info!("status of a roll-out written", kv: { service, version, state });
            true
        }
        Ok(false) => {
            spdlog::info!("status of a roll-out was written by another node", kv: { service, version, state });
            false
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("failed to write the status of a roll-out", kv: { service, version, state, error });
            false
        }
    }
}

impl Core {
    /// Returns whether a roll-out runs.
    pub(super) fn is_rolling_out(&self) -> bool {
        self.rollouts.load().values().any(|r| !r.step.is_final())
    }

    /// Returns whether this node decides roll-outs, and records its own reports if so. A node that has just started may
    /// not know the node that does.
    fn decides_rollouts(&self) -> bool {
        let now = self.clock.now();
        if self.shutting_down() || self.discovering(now) {
            return false;
        }
        let own = self.admission.reports();
        let mut shared = self.shared();
        shared.reports.sweep(now);
        shared.reports.record(&own, true, now);
        shared.primary_delegate().as_deref() == Some(&*self.address)
    }

    /// Requests a read of the feed at once.
    fn request_read(&self) {
        self.shared().feed.read_requested = true;
        self.read_now.notify_one();
    }

    /// Returns whether this node may expose requests to a version on trial: it has proof from a moment ago that the
    /// store has nothing newer.
    #[must_use]
    pub fn may_try_versions(&self, now: Instant) -> bool {
        let age = self.shared().freshness.head_age(now);
        let bounds = self.settings.rollout;
        bounds.is_some_and(|b| age.is_some_and(|age| age < b.rollback / 2))
    }

    /// Applies the orders that a read of the feed found.
    pub(super) fn apply_orders(&self, reading: &Reading) {
        let Some(orders) = &reading.orders else {
            return;
        };
        let mut shared = self.shared();
        let shared = &mut *shared;
        if reading.revision < shared.orders.0 {
            return;
        }
        let now = self.clock.now();
        let stored = orders.iter().map(|row| stored_rollout(row, now));
        let rollouts: Vec<Rollout> = stored.collect();
        shared.orders = (reading.revision, orders.clone());
        self.merge_rollouts(shared, &rollouts);
    }

    /// Merges roll-outs that another node or the store stated.
    pub(super) fn merge_rollouts(&self, shared: &mut Shared, rollouts: &[Rollout]) {
        if self.settings.rollout.is_none() {
            return;
        }
        let before = shared.rollouts.clone();
        for rollout in rollouts {
            if merge(&mut shared.rollouts, rollout) {
                let Order {
                    service, version, ..
                } = &rollout.order;
                let (service, version) = (service.as_str(), version.as_str());
                let step = format!("{:?}", rollout.step);
                spdlog::info!("step of a roll-out learnt", kv: { service, version, step });
            }
        }
        // The age of an order may be learnt without a new step.
        if shared.rollouts != before {
            self.publish_rollouts(shared);
        }
    }

    /// Takes a step of a roll-out, unless this node has learnt of another step meanwhile.
    fn take_step(
        &self,
        rollout: &Rollout,
        step: Step,
        reason: &str,
        tallies: &[TargetTally],
        now: Instant,
    ) {
        let mut shared = self.shared();
        let shared = &mut *shared;
        let held = shared.rollouts.get_mut(&rollout.order.service);
        let same = |h: &&mut Rollout| (&h.order, h.step) == (&rollout.order, rollout.step);
        let Some(held) = held.filter(same) else {
            return;
        };
        held.advance(step, now);
        let (service, version) = (
            rollout.order.service.as_str(),
            rollout.order.version.as_str(),
        );
        let name = format!("{step:?}");
        let evidence = describe(tallies);
        let after_ms = whole_millis(now.saturating_duration_since(rollout.seen));
        self.metrics.record_rollout_step(service, version, &name);
        spdlog::info!("roll-out takes a step", kv: { service, version, step = name, reason, after_ms, evidence });
        self.publish_rollouts(shared);
    }

    /// Publishes the roll-outs to the request path and to other nodes.
    fn publish_rollouts(&self, shared: &Shared) {
        self.rollouts.store(Arc::new(shared.rollouts.clone()));
        self.gossip_now.notify_one();
    }

    /// Applies the steps of all roll-outs to the targets of this VM.
    fn apply_steps(&self, rollouts: &Rollouts) {
        let now = self.clock.now();
        let may_try = self.may_try_versions(now);
        let participation = |service: &str, version: &str| {
            let rollout = rollouts.get(service)?;
            let closed = match rollout.use_of(version) {
                Use::Open => false,
                Use::OnTrial => !may_try,
                Use::Closed => true,
            };
            Some(Participation {
                revision: rollout.order.revision,
                closed,
                counts: !rollout.step.is_final(),
            })
        };
        if self.admission.participate(participation, now) {
            self.update_record();
        }
    }
}

impl Shared {
    /// Returns the targets of a service on nodes that are alive.
    fn targets_of<'s>(&'s self, service: &'s str) -> impl Iterator<Item = &'s TargetRecord> {
        let alive = |vm: &str| self.board.vm(vm).is_some_and(|vm| vm.alive);
        let records = self.members.records().filter(move |r| alive(&r.vm));
        records
            .flat_map(|r| &r.targets)
            .filter(move |t| t.service == service)
    }

    /// Returns the answers of each target since the order.
    fn tallies(&self, order: &Order, now: Instant) -> Vec<TargetTally> {
        let targets = self.targets_of(&order.service);
        let counted = targets.filter_map(|t| self.reports.of(&t.id, order, now));
        counted
            .map(|t| TargetTally {
                target: t.target.clone(),
                new: t.version == order.version,
                classes: t.tallies.iter().map(decode_tally).collect(),
            })
            .collect()
    }

    /// Returns the slots of the warm targets of the new version, and of all others.
    fn warm_slots(&self, order: &Order) -> (u32, u32) {
        let mut slots = (0, 0);
        for target in self.targets_of(&order.service) {
            if target.state() != TargetState::Warm {
                continue;
            }
            match target.version == order.version {
                true => slots.0 += target.slots,
                false => slots.1 += target.slots,
            }
        }
        slots
    }

    /// Returns the number of targets of other versions.
    fn count_old(&self, order: &Order) -> usize {
        let targets = self.targets_of(&order.service);
        targets.filter(|t| t.version != order.version).count()
    }

    /// Returns whether all old targets are closed and have no open requests, as far as known. A node that sees few
    /// others alive is cut off and knows nothing. A node that isn't alive may only be out of reach, so its last report
    /// counts as well.
    fn is_old_idle(&self, order: &Order, now: Instant) -> bool {
        let alive = self.board.vms.values().filter(|vm| vm.alive).count();
        let old = |t: &&TargetRecord| t.version != order.version;
        let is_idle = |t: &TargetRecord| {
            let report = self.reports.of(&t.id, order, now);
            report.is_some_and(|r| r.closed && r.open == 0)
        };
        alive * 2 > self.board.vms.len()
            && self.reports.are_old_idle(order, now)
            && self.targets_of(&order.service).filter(old).all(is_idle)
    }

    /// Returns the row of an order, if the newest read found it.
    fn order_row(&self, order: &Order) -> Option<OrderRow> {
        let rows = &self.orders.1;
        rows.iter()
            .find(|r| r.order.revision == order.revision && r.order.service == order.service)
            .cloned()
    }

    /// Returns whether the order has been removed from the store.
    fn is_withdrawn(&self, order: &Order) -> bool {
        self.orders.0 > order.revision && self.order_row(order).is_none()
    }
}

/// Returns the roll-out that a row states.
fn stored_rollout(row: &OrderRow, now: Instant) -> Rollout {
    let mut rollout = Rollout::new(row.order.clone(), now);
    match row.state() {
        Some(RolloutState::Complete) => rollout.step = Step::Complete,
        Some(RolloutState::Reverted) => rollout.step = Step::Reverted,
        Some(RolloutState::Running) | None => {}
    }
    rollout
}

/// Encodes the roll-outs for other nodes.
pub(super) fn encode_rollouts(rollouts: &Rollouts, now: Instant) -> Vec<RolloutNews> {
    let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let encode = |rollout: &Rollout| RolloutNews {
        service: rollout.order.service.clone(),
        version: rollout.order.version.clone(),
        revision: rollout.order.revision,
        duration_ms: millis(rollout.order.duration),
        step: encode_step(rollout.step).into(),
        sequence: rollout.sequence,
        age_ms: millis(now.saturating_duration_since(rollout.seen)),
    };
    rollouts.values().map(encode).collect()
}

/// Decodes the roll-outs of another node.
pub(super) fn decode_rollouts(news: &[RolloutNews], now: Instant) -> Vec<Rollout> {
    let decode = |news: &RolloutNews| Rollout {
        order: Order {
            service: news.service.clone(),
            version: news.version.clone(),
            duration: Duration::from_millis(u64::from(news.duration_ms)),
            revision: news.revision,
        },
        step: decode_step(news.step()),
        sequence: news.sequence,
        seen: now
            .checked_sub(Duration::from_millis(u64::from(news.age_ms)))
            .unwrap_or(now),
        since: now,
    };
    news.iter().map(decode).collect()
}

fn encode_step(step: Step) -> RolloutStep {
    match step {
        Step::Trial => RolloutStep::Trial,
        Step::Ramp => RolloutStep::Ramp,
        Step::Whole => RolloutStep::Whole,
        Step::Reverted => RolloutStep::Reverted,
        Step::Complete => RolloutStep::Complete,
    }
}

fn decode_step(step: RolloutStep) -> Step {
    match step {
        RolloutStep::Trial => Step::Trial,
        RolloutStep::Ramp => Step::Ramp,
        RolloutStep::Whole => Step::Whole,
        RolloutStep::Reverted => Step::Reverted,
        RolloutStep::Complete => Step::Complete,
    }
}

fn decode_tally(tally: &ClassTally) -> (LatencyClass, Tally) {
    let class = LatencyClass {
        objective: u64::from(tally.objective_ms),
        idempotent: tally.idempotent,
    };
    #[expect(
        clippy::cast_precision_loss,
        reason = "sums of logarithms are far below 2^52"
    )]
    let log_latency = tally.log_latency as f64 / 1e3;
    let tally = Tally {
        answers: u64::from(tally.answers),
        failures: u64::from(tally.failures),
        timed: u64::from(tally.timed),
        log_latency,
    };
    (class, tally)
}

/// Returns the evidence by version and class, for the log.
fn describe(tallies: &[TargetTally]) -> String {
    let mut sums: Tallies = Tallies::new();
    let mut parts = Vec::new();
    for new in [false, true] {
        sums.clear();
        let of_version = tallies.iter().filter(|t| t.new == new);
        let targets = of_version.clone().count();
        for (class, tally) in of_version.flat_map(|t| &t.classes) {
            sums.entry(*class).or_default().add(tally);
        }
        let version = if new { "new" } else { "old" };
        parts.push(format!("{version}: {targets} targets"));
        for (class, tally) in &sums {
            let kind = if class.idempotent {
                "repeatable"
            } else {
                "once"
            };
            parts.push(format!("class {} {kind}: {tally}", class.objective));
        }
    }
    parts.join("; ")
}
