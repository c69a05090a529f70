//! Admission with one target and a clock that stands still, and requests for it.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    clock::{Clock, ManualClock},
    policy::{limit::TargetLimits, pace::ColdStart, queue::Rank},
    proxy::{Admission, AdmissionRequest, Announcement},
};

pub const TARGET: &str = "orders-1";

pub const RANK: Rank = Rank {
    external: true,
    organisation: 0,
    route: 0,
};

/// A pace that doesn't hold requests back.
pub const UNPACED: ColdStart = ColdStart {
    rate: 1_000.0,
    burst: 1_000.0,
    duration: Duration::from_secs(3),
};

/// Returns the first announcement of a target with this many slots, which holds for longer than any test.
pub fn announcement(slots: u32) -> Announcement {
    Announcement {
        id: TARGET.to_owned(),
        service: "orders".to_owned(),
        version: String::new(),
        address: "127.0.0.1:1".to_owned(),
        slots,
        cold_left: Duration::ZERO,
        leaving: false,
        started_ms: 1_000,
        sequence: 1,
        lease: Duration::from_secs(3_600),
    }
}

/// Returns the limits of a service with this cold start.
pub fn limits(cold_start: ColdStart) -> TargetLimits {
    TargetLimits {
        connections: 100,
        cold_start,
        stated_slots: false,
    }
}

pub fn request(deadline: Instant, cold_start: ColdStart) -> AdmissionRequest<'static> {
    AdmissionRequest {
        target: TARGET,
        service: "orders",
        rank: RANK,
        organisation: "alpha",
        weight: 1,
        deadline,
        objective: None,
        queue_limit: 64,
        limits: limits(cold_start),
        avoid_suspected: false,
        repeatable: false,
        floor: false,
        extra_slots: 0,
    }
}

pub fn empty_admission() -> (Arc<ManualClock>, Arc<Admission>) {
    let clock = Arc::new(ManualClock::new());
    let admission = Arc::new(Admission::new(Arc::clone(&clock) as Arc<dyn Clock>));
    (clock, admission)
}

/// Creates admission with one target that has this many slots.
pub fn admission(slots: u32) -> (Arc<ManualClock>, Arc<Admission>) {
    let (clock, admission) = empty_admission();
    assert!(admission.apply_announcement(announcement(slots), clock.now()));
    (clock, admission)
}
