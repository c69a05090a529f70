//! Departures of targets: which announcements they outdate, at one node and over its restarts.

mod one_target;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    clock::{Clock, ManualClock},
    fleet::{
        Membership,
        codec::{Departure, Record},
    },
    policy::departures::{Departures, MAX_DEPARTURES},
    proxy::{Admission, Announcement, Code},
};
use one_target::{TARGET, UNPACED, announcement, empty_admission, request};

const SECOND: Duration = Duration::from_secs(1);

/// Announcement of the run of the target that started at `started_ms`, with a lease of 10 s.
fn run(started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        started_ms,
        sequence,
        lease: 10 * SECOND,
        ..announcement(2)
    }
}

async fn is_used(admission: &Arc<Admission>, clock: &ManualClock) -> bool {
    let now = clock.now();
    match admission.admit(&request(now, UNPACED), now).await {
        Ok(_) => true,
        Err(code) => {
            assert_eq!(code, Code::NoTarget);
            false
        }
    }
}

/// Guards against a late heartbeat that brings back a target whose lease had expired when it left.
#[tokio::test]
async fn target_forgotten_before_it_left_is_not_brought_back() {
    let (clock, admission) = empty_admission();
    assert!(admission.apply_announcement(run(1_000, 1), clock.now()));
    clock.advance(20 * SECOND);
    admission.sweep(clock.now());
    assert!(!admission.is_known(TARGET));
    admission.withdraw(TARGET, clock.now());
    clock.advance(4 * SECOND);
    assert!(!admission.apply_announcement(run(1_000, 2), clock.now()));
    assert!(!is_used(&admission, &clock).await);
    // A run that started after the departure is another one.
    assert!(admission.apply_announcement(run(23_000, 1), clock.now()));
    assert!(is_used(&admission, &clock).await);
}

/// Guards against a late heartbeat of a departed run with another address, which was applied unchecked.
#[tokio::test]
async fn departed_run_is_not_brought_back_at_another_address() {
    let (clock, admission) = empty_admission();
    assert!(admission.apply_announcement(run(1_000, 5), clock.now()));
    assert!(admission.withdraw(TARGET, clock.now()));
    let elsewhere = Announcement {
        address: "127.0.0.2:1".to_owned(),
        ..run(1_000, 4)
    };
    assert!(!admission.apply_announcement(elsewhere, clock.now()));
    assert!(!is_used(&admission, &clock).await);
}

/// Guards against a departed target that is forgotten while late heartbeats may still arrive.
#[tokio::test]
async fn departure_outlives_lease_of_target() {
    let (clock, admission) = empty_admission();
    assert!(admission.apply_announcement(run(1_000, 5), clock.now()));
    admission.withdraw(TARGET, clock.now());
    clock.advance(50 * SECOND);
    admission.sweep(clock.now());
    assert!(!admission.is_known(TARGET));
    assert!(!admission.apply_announcement(run(1_000, 6), clock.now()));
    assert!(!is_used(&admission, &clock).await);
}

/// Guards against a departure of an earlier run, recalled late, that takes the next run out of use.
#[tokio::test]
async fn recalled_departure_ends_departed_run_but_not_next_one() {
    let (clock, admission) = empty_admission();
    assert!(admission.apply_announcement(run(2_000, 1), clock.now()));
    assert!(!admission.record_departure(TARGET, 1_000, clock.now()));
    assert!(is_used(&admission, &clock).await);
    assert!(admission.record_departure(TARGET, 2_000, clock.now()));
    assert!(!is_used(&admission, &clock).await);
    let recorded = admission.departure_records(clock.now());
    assert_eq!(recorded, [departure(TARGET, 2_000)]);
}

#[test]
fn remembered_departures_are_bounded_and_expire() {
    let start = Instant::now();
    let mut departures = Departures::default();
    let count = 10 * u32::try_from(MAX_DEPARTURES).unwrap();
    for i in 0..count {
        let now = start + i * Duration::from_millis(1);
        departures.record(&format!("t-{i}"), 1_000, now);
    }
    let now = start + SECOND;
    let newest = departures.newest(now);
    assert_eq!(newest.len(), MAX_DEPARTURES);
    assert_eq!(newest[0].0, format!("t-{}", count - 1));
    assert!(departures.includes(&format!("t-{}", count - 1), 1_000, now));
    assert!(!departures.includes("t-0", 1_000, now));
    assert!(departures.newest(start + 120 * SECOND).is_empty());
}

fn departure(target: &str, last_start_ms: u64) -> Departure {
    Departure {
        target: target.to_owned(),
        last_start_ms,
    }
}

fn record(incarnation: u64, version: u64, departed: &[Departure]) -> Record {
    Record {
        vm: "10.0.0.1:7000".to_owned(),
        incarnation,
        version,
        departed: departed.to_vec(),
        ..Record::default()
    }
}

/// Guards against a departure that is lost when the record of a node's next incarnation replaces the one that
/// held it.
#[test]
fn departures_of_earlier_incarnations_are_retained() {
    let first = [departure("t-1", 1_000)];
    let second = [departure("t-2", 2_000)];
    let mut members = Membership::default();
    members.merge(&record(10, 1, &first));
    members.merge(&record(20, 1, &[]));
    members.merge(&record(20, 2, &second));
    assert_eq!(members.departures("10.0.0.1:7000", 20), first);
    members.merge(&record(30, 1, &[]));
    let retained = members.departures("10.0.0.1:7000", 30);
    assert_eq!(retained, [first, second].concat());
    assert!(members.departures("10.0.0.2:7000", 30).is_empty());
}

/// Guards against a node whose clock was stepped back before its restart, so that others keep the record of its
/// earlier incarnation.
#[test]
fn departures_are_returned_to_lower_incarnation() {
    let departed = [departure("t-1", 1_000)];
    let mut members = Membership::default();
    members.merge(&record(20, 1, &departed));
    assert!(!members.merge(&record(10, 1, &[])));
    assert_eq!(members.departures("10.0.0.1:7000", 10), departed);
}
