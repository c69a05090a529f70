//! The versions of a service that a request may go to while a roll-out runs.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use rand::{Rng, rng};

use crate::{
    board::{ServiceView, TargetView},
    node::Core,
    policy::rollout::{Exposure, Order, Rollout, Step},
};

/// The versions that a request may go to.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Versions {
    /// All.
    Any,
    /// Only this one.
    Only(String),
    /// All but this one.
    Without(String),
}

impl Versions {
    /// Returns whether a target may get the request.
    pub(super) fn allow(&self, target: &TargetView) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => *target.version == **version,
            Self::Without(version) => *target.version != **version,
        }
    }
}

/// Returns whether this node knows targets of the new version, and of others. Otherwise, nothing is left to choose.
fn has_both(core: &Core, rollout: &Rollout) -> bool {
    let Order {
        service, version, ..
    } = &rollout.order;
    let view = core.view.load();
    let Some(service) = view.services.get(service.as_str()) else {
        return false;
    };
    let is_new = |t: &TargetView| *t.version == **version;
    service.targets.iter().any(is_new) && !service.targets.iter().all(is_new)
}

/// Returns the versions that an attempt after the first one may go to.
fn later_versions(rollout: &Rollout) -> Versions {
    match rollout.step {
        Step::Trial | Step::Ramp | Step::Reverted => {
            Versions::Without(rollout.order.version.clone())
        }
        Step::Whole | Step::Complete => Versions::Only(rollout.order.version.clone()),
    }
}

/// Returns the versions of a service that may continue a response.
pub(super) fn continuing_versions(core: &Core, service: &str) -> Versions {
    let rollouts = core.rollouts.load();
    let rollout = rollouts.get(service);
    rollout
        .filter(|r| has_both(core, r))
        .map_or(Versions::Any, later_versions)
}

/// What this node has exposed to new versions, by service.
#[derive(Default)]
pub(super) struct Exposures(Mutex<HashMap<String, Exposure>>);

impl Exposures {
    /// Chooses the versions for the first attempt at a request, and for the others.
    pub(super) fn choose(&self, core: &Core, service: &str, now: Instant) -> (Versions, Versions) {
        let rollouts = core.rollouts.load();
        let Some(rollout) = rollouts.get(service) else {
            return (Versions::Any, Versions::Any);
        };
        if !has_both(core, rollout) {
            return (Versions::Any, Versions::Any);
        }
        let exposed = match rollout.step {
            Step::Trial | Step::Ramp => self.take(core, rollout, now),
            Step::Whole | Step::Complete => true,
            Step::Reverted => false,
        };
        let later = later_versions(rollout);
        match exposed {
            true => (Versions::Only(rollout.order.version.clone()), later),
            false => (later.clone(), later),
        }
    }

    /// Counts a request, and returns whether it is exposed to the new version.
    fn take(&self, core: &Core, rollout: &Rollout, now: Instant) -> bool {
        let Some(bounds) = core.settings.rollout else {
            return false;
        };
        let Order {
            service, version, ..
        } = &rollout.order;
        let view = core.view.load();
        let has_version = |s: &ServiceView| s.targets.iter().any(|t| *t.version == **version);
        let available = view.services.get(service.as_str()).is_some_and(has_version)
            && core.may_try_versions(now);
        let start = rng().random_range(0.0..1.0);
        let mut exposures = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let exposure = exposures.entry(service.clone()).or_default();
        let taken = exposure.take(rollout, bounds.exposure, start, available);
        if taken {
            core.metrics.record_exposed(service, version);
        }
        taken
    }
}
