//! Moves a service to a new version in steps, or back; see
//! [docs/decisions/6-rollouts.md](../../docs/decisions/6-rollouts.md).

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::policy::{
    suspicion::LatencyClass,
    verdict::{Tally, Verdict},
};

/// Part of the exposure that the trial uses. The rest is for the ramp, and for the requests that a version gets while
/// it turns bad.
const TRIAL_PART: f64 = 0.75;

/// Share of the requests that the new version gets during the ramp.
const RAMP_SHARE: f64 = 0.2;

/// Part of the duration that the trial takes at least, since versions may turn bad later.
const TRIAL_TIME: f64 = 0.55;

/// Duration of the ramp, as a part of the whole.
const RAMP_TIME: f64 = 0.08;

/// Part of the duration after which a roll-out that is still on trial is reverted.
const LAST_TRIAL_TIME: f64 = 0.9;

/// Answers of the new version that the trial needs, and that the ramp needs in addition.
const TRIAL_ANSWERS: u64 = 25;
const RAMP_ANSWERS: u64 = 15;

/// Least difference by which the age of an order is corrected, since messages take some time.
const MIN_CORRECTION: Duration = Duration::from_millis(50);

data! {
    /// An operator's order to move a service to a version.
    #[derive(Eq)]
    pub struct Order {
        /// The service.
        pub service: String,
        /// The version to move to.
        pub version: String,
        /// How long the move may take.
        pub duration: Duration,
        /// The store's revision at which the order was written.
        pub revision: u64,
    }
}

value! {
    /// How far a roll-out is. Of two final steps, the greater one has been written to the store.
    pub enum Step {
        /// The new version gets a small share of the requests.
        Trial,
        /// The new version gets a larger share for a short time.
        Ramp,
        /// The new version gets all requests, and old targets end theirs.
        Whole,
        /// The new version gets no requests.
        Reverted,
        /// The old targets have ended.
        Complete,
    }

    /// What a roll-out allows a target to do.
    pub enum Use {
        /// It gets requests as if there were no roll-out.
        Open,
        /// It gets requests only from ingress nodes that may expose them to the new version.
        OnTrial,
        /// It gets no new requests.
        Closed,
    }
}

impl Step {
    /// Returns whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        self >= Self::Reverted
    }
}

/// A roll-out and its progress.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The step.
    pub step: Step,
    /// Increases with each change of the step.
    pub sequence: u64,
    /// When the order was first seen.
    pub seen: Instant,
    /// When this node learnt of the step.
    pub since: Instant,
}

/// What the decision about the next step depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Situation {
    /// Whether the order is withdrawn.
    pub withdrawn: bool,
    /// Whether the deciding node is fresh.
    pub fresh: bool,
    /// Whether the new version is bad, and the reason.
    pub verdict: Verdict,
    /// Answers of the new version.
    pub answers: u64,
    /// Answers of the new version when the step began.
    pub answers_before: u64,
    /// Slots of the warm targets of the new version.
    pub new_slots: u32,
    /// Slots of the warm targets of other versions.
    pub old_slots: u32,
    /// Number of targets of other versions.
    pub old_targets: usize,
    /// Whether all old targets are closed and have no open requests.
    pub old_idle: bool,
}

impl Rollout {
    /// Begins a roll-out.
    #[must_use]
    pub fn new(order: Order, seen: Instant) -> Self {
        Self {
            order,
            step: Step::Trial,
            sequence: 0,
            seen,
            since: seen,
        }
    }

    /// Merges what another node or the store states about the service, and returns whether that changes the step or
    /// the order.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.order.revision != self.order.revision {
            let newer = other.order.revision > self.order.revision;
            if newer {
                *self = other.clone();
            }
            return newer;
        }
        if other.seen + MIN_CORRECTION < self.seen {
            self.seen = other.seen;
        }
        let advances = match self.step.is_final() || other.step.is_final() {
            true => other.step > self.step,
            false => (other.sequence, other.step) > (self.sequence, self.step),
        };
        if advances {
            self.step = other.step;
            self.sequence = self.sequence.max(other.sequence);
            self.since = other.since;
        }
        advances
    }

    /// Begins a step.
    pub fn advance(&mut self, step: Step, now: Instant) {
        self.step = step;
        self.sequence += 1;
        self.since = now;
    }

    /// Returns the share of the requests that may go to the new version while both versions are in use.
    #[must_use]
    pub fn share(&self, exposure: f64) -> f64 {
        match self.step {
            Step::Trial => exposure * TRIAL_PART,
            Step::Ramp => RAMP_SHARE.max(exposure * TRIAL_PART),
            Step::Whole | Step::Complete => 1.0,
            Step::Reverted => 0.0,
        }
    }

    /// Returns how targets of a version are used.
    #[must_use]
    pub fn use_of(&self, version: &str) -> Use {
        let new = version == self.order.version;
        match (self.step, new) {
            (Step::Trial | Step::Ramp, true) => Use::OnTrial,
            (Step::Trial | Step::Ramp | Step::Reverted, false)
            | (Step::Whole | Step::Complete, true) => Use::Open,
            (Step::Whole | Step::Complete, false) | (Step::Reverted, true) => Use::Closed,
        }
    }

    /// Returns the step that follows now, if any, and the reason.
    #[must_use]
    pub fn next_step(&self, situation: &Situation, now: Instant) -> Option<(Step, &'static str)> {
        if self.step.is_final() {
            return None;
        }
        if let Verdict::Bad(reason) = situation.verdict {
            return Some((Step::Reverted, reason));
        }
        if situation.withdrawn {
            return Some((Step::Reverted, "the order was withdrawn"));
        }
        let next = match self.step {
            Step::Trial => self.after_trial(situation, now),
            Step::Ramp => self.after_ramp(situation, now),
            _ => situation
                .old_idle
                .then_some((Step::Complete, "the old targets are idle")),
        };
        next.filter(|(step, _)| situation.fresh || *step == Step::Reverted)
    }

    fn after_trial(&self, situation: &Situation, now: Instant) -> Option<(Step, &'static str)> {
        if situation.old_targets == 0 && situation.new_slots > 0 {
            return Some((Step::Whole, "no target is of another version"));
        }
        if now >= self.seen + self.order.duration.mul_f64(LAST_TRIAL_TIME) {
            return Some((Step::Reverted, "too little evidence in time"));
        }
        let tried = now >= self.seen + self.order.duration.mul_f64(TRIAL_TIME);
        let proven = situation.answers >= TRIAL_ANSWERS;
        let enough = situation.new_slots > 0 && situation.new_slots >= situation.old_slots / 2;
        (tried && proven && enough).then_some((Step::Ramp, "the trial has passed"))
    }

    fn after_ramp(&self, situation: &Situation, now: Instant) -> Option<(Step, &'static str)> {
        let long = now >= self.since + self.order.duration.mul_f64(RAMP_TIME);
        let proven = situation.answers >= situation.answers_before + RAMP_ANSWERS;
        let enough = situation.new_slots > 0 && situation.new_slots >= situation.old_slots / 2;
        (long && proven && enough).then_some((Step::Whole, "the ramp has passed"))
    }
}

/// How much of the requests to one service an ingress node has exposed to a new version.
///
/// The node spends what it has earned. It begins with a random part of a request, so that many nodes that each get few
/// requests expose the share together, and nodes that restart don't change it.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    /// The order that the credit is for.
    revision: u64,
    credit: f64,
}

impl Exposure {
    /// Counts a request to the service, and returns whether it goes to the new version. `start` is the random credit,
    /// below 1, with which the node begins an order, and `available` states whether a target may take the request.
    pub fn take(&mut self, rollout: &Rollout, exposure: f64, start: f64, available: bool) -> bool {
        if self.revision != rollout.order.revision {
            *self = Self {
                revision: rollout.order.revision,
                credit: start,
            };
        }
        self.credit = (self.credit + rollout.share(exposure)).min(1.0);
        let taken = available && self.credit >= 1.0;
        if taken {
            self.credit -= 1.0;
        }
        taken
    }
}

/// The roll-outs that a node knows, by service.
pub type Rollouts = BTreeMap<String, Rollout>;

/// Merges a roll-out into those that are known, and returns whether that changes any step.
pub fn merge(known: &mut Rollouts, rollout: &Rollout) -> bool {
    match known.get_mut(&rollout.order.service) {
        Some(held) => held.merge(rollout),
        None => {
            known.insert(rollout.order.service.clone(), rollout.clone());
            true
        }
    }
}

/// The answers of one target, by class of requests.
pub type Tallies = BTreeMap<LatencyClass, Tally>;
