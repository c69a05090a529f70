//! Decisions where routes state objectives and the deployment states bounds: evidence, pace, parts of
//! quotas, retry budgets, ranks in queues, and the gate.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    clock::{Clock, ManualClock},
    fleet::codec::TargetState,
    policy::{
        budget::RetryBudget,
        eject::OtherTargets,
        limit::ExchangeResult,
        pace::Pace,
        queue::{Rank, RankedQueue},
        share::{Excess, Share, ShareSize},
        suspicion::{ExchangeEnd, LatencyClass, Suspicion},
    },
    proxy::{Admission, AdmissionRequest, Announcement, Code, FailureTest, Permit},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ORDER: LatencyClass = LatencyClass {
    objective: 2_500,
    idempotent: false,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    f64::from(u32::try_from(items.count()).unwrap())
}

/// An outlook that has seen good answers of 800 ms, the last of them long ago.
fn known(now: Instant) -> Suspicion {
    let mut outlook = Suspicion::default();
    for i in 0..40 {
        let begun = now + ms(1_000 * i);
        outlook.begin(i, ORDER, begun);
        outlook.end(i, ORDER, ExchangeEnd::Good, begun + ms(800));
    }
    outlook
}

#[test]
fn exchanges_that_hang_together_take_a_target_out_before_any_ends() {
    let start = Instant::now();
    let mut outlook = known(start);
    let now = start + ms(60_000);
    for i in 0..4 {
        outlook.begin(100 + i, ORDER, now + ms(150 * i));
    }
    assert!(
        !outlook.is_excluded(now + ms(700)),
        "the usual time has not passed"
    );
    assert!(outlook.is_excluded(now + ms(2_000)));
}

#[test]
fn good_answers_clear_a_target_and_a_slow_class_is_no_evidence() {
    let start = Instant::now();
    let mut outlook = known(start);
    let slow = LatencyClass {
        objective: 8_000,
        idempotent: true,
    };
    let now = start + ms(60_000);
    for i in 0..3 {
        outlook.begin(200 + i, slow, now);
    }
    assert!(
        !outlook.is_suspected(now + ms(2_000)),
        "2.8 s are usual there"
    );
    outlook.begin(300, ORDER, now);
    assert!(
        outlook.is_suspected(now + ms(1_400)),
        "one order alone hangs"
    );
    for i in 0..3 {
        outlook.begin(400 + i, ORDER, now + ms(1_400));
        outlook.end(400 + i, ORDER, ExchangeEnd::Good, now + ms(2_100));
    }
    assert!(!outlook.is_suspected(now + ms(2_100)));
}

#[test]
fn errors_after_work_do_not_take_a_target_out_since_a_call_may_have_failed() {
    let start = Instant::now();
    let mut outlook = known(start);
    let now = start + ms(60_000);
    for i in 0..6 {
        outlook.begin(600 + i, ORDER, now);
        outlook.end(600 + i, ORDER, ExchangeEnd::Error, now + ms(900));
    }
    assert!(!outlook.is_excluded(now + ms(900)));
    for i in 0..4 {
        outlook.begin(700 + i, ORDER, now + ms(900));
        outlook.end(700 + i, ORDER, ExchangeEnd::Error, now + ms(904));
    }
    assert!(outlook.is_excluded(now + ms(904)));
}

#[test]
fn a_target_that_nobody_tries_is_forgiven_in_seconds() {
    let start = Instant::now();
    let mut outlook = known(start);
    let now = start + ms(60_000);
    for i in 0..4 {
        outlook.begin(500 + i, ORDER, now);
        outlook.end(500 + i, ORDER, ExchangeEnd::Aborted, now + ms(10));
    }
    assert!(outlook.is_excluded(now + ms(20)));
    assert!(!outlook.is_excluded(now + ms(6_000)));
}

#[test]
fn a_second_holds_no_more_starts_than_a_cold_target_bears() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut pace = Pace::new(start);
        let rate = 14.0;
        let mut starts: Vec<Instant> = Vec::new();
        let mut now = start;
        for _ in 0..4_000 {
            now += Duration::from_micros(rng.random_range(0..20_000));
            // The target turns cold and warm without notice; the bound holds all the same.
            let cold = rng.random_bool(0.5);
            if pace.is_due(rate, cold, now) {
                pace.record_start();
                starts.push(now);
            }
        }
        for (i, first) in starts.iter().enumerate() {
            let within = starts[i..].iter().take_while(|s| **s < *first + ms(1_000));
            let most = 1.5 * rate + 5.0;
            assert!(count(within) <= most, "seed {seed}");
        }
        assert!(
            starts.len() > 400,
            "seed {seed}: the pace starves the target"
        );
    }
}

/// Three parts of a quota, of which one that is used up borrows from the others.
fn grants(rate: f64, burst: u32, asks: &[(u64, usize)]) -> Vec<u64> {
    let excess = Excess {
        requests: 20.0,
        share: 0.1,
        window: 5.0,
    };
    let size = ShareSize::of(rate, burst, &excess, 3);
    let start = Instant::now();
    let mut parts = vec![Share::new(size, start); 3];
    let mut granted = Vec::new();
    for (at, part) in asks {
        let now = start + ms(*at);
        let mut ok = parts[*part].try_draw(size, now);
        for other in (0..3).filter(|o| o != part) {
            if !ok {
                let lent = parts[other].transfer_out(size, 3, now);
                parts[*part].transfer_in(lent);
                ok = parts[*part].try_draw(size, now);
            }
        }
        if ok {
            granted.push(*at);
        }
    }
    granted
}

#[test]
fn parts_of_a_quota_together_stay_within_what_is_tolerated() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rate, burst) = (rng.random_range(1.0..60.0), rng.random_range(1..60));
        let mut at = 0;
        let asks: Vec<(u64, usize)> = (0..6_000)
            .map(|_| {
                at += rng.random_range(0..8);
                (at, rng.random_range(0..3))
            })
            .collect();
        let granted = grants(rate, burst, &asks);
        let most = (rate * 5.0 + f64::from(burst)) * 1.1 + 20.0;
        for (i, first) in granted.iter().enumerate() {
            let within = granted[i..].iter().take_while(|at| **at < first + 5_000);
            assert!(count(within) <= most, "seed {seed}");
        }
    }
}

#[test]
fn the_part_of_a_node_that_has_just_started_grants_nothing_at_first() {
    let excess = Excess {
        requests: 20.0,
        share: 0.1,
        window: 5.0,
    };
    let size = ShareSize::of(30.0, 30, &excess, 3);
    let start = Instant::now();
    let mut part = Share::empty(start + ms(1_000));
    assert!(!part.try_draw(size, start + ms(900)));
    assert_eq!(part.transfer_out(size, 3, start + ms(900)), 0);
    assert!(part.try_draw(size, start + ms(1_200)));
}

#[test]
fn a_quota_serves_whoever_asks_although_all_come_to_one_data_centre() {
    // Eight tenths of the rate, all in one data centre.
    let asks: Vec<(u64, usize)> = (0..400).map(|i| (i * 125, 0)).collect();
    let granted = grants(10.0, 10, &asks);
    assert_eq!(granted.len(), asks.len());
}

#[test]
fn a_retry_budget_spares_some_for_calls_and_makes_up_for_forced_ones() {
    let mut budget = RetryBudget::new(10.0);
    let taken = (0..20).filter(|_| budget.try_spend(4.0)).count();
    assert_eq!(taken, 6);
    let taken = (0..20).filter(|_| budget.try_spend(0.0)).count();
    assert_eq!(taken, 4);
    budget.spend_forced();
    budget.spend_forced();
    budget.earn(2.5, 10.0);
    assert!(!budget.try_spend(0.0), "forced ones are made up for first");
    budget.earn(0.5, 10.0);
    assert!(budget.try_spend(0.0));
}

fn rank(outside: bool, route: u32) -> Rank {
    Rank {
        external: outside,
        organisation: 0,
        route,
    }
}

#[test]
fn calls_go_first_and_the_least_urgent_is_dropped() {
    let now = Instant::now();
    let later = now + ms(1_000);
    let mut queue = RankedQueue::default();
    for (item, rank) in [
        ("status", rank(true, 2)),
        ("order", rank(true, 1)),
        ("call", rank(false, 9)),
    ] {
        assert_eq!(queue.push(rank, "alpha", 1, later, item, 3), None);
    }
    let dropped = queue.push(rank(true, 1), "beta", 1, later, "second order", 3);
    assert_eq!(dropped, Some("status"));
    let mut order = Vec::new();
    while let Some(item) = queue.pop(now, |_| panic!("none is late")) {
        order.push(item);
    }
    assert_eq!(order, ["call", "order", "second order"]);
}

fn said(sequence: u64) -> Announcement {
    Announcement {
        id: "orders-1".to_owned(),
        service: "orders".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        slots: 2,
        cold_left: Duration::ZERO,
        leaving: false,
        started_ms: 1_000,
        sequence,
        lease: ms(10_000),
    }
}

fn wish(deadline: Instant) -> AdmissionRequest<'static> {
    AdmissionRequest {
        target: "orders-1",
        service: "orders",
        rank: rank(true, 0),
        organisation: "alpha",
        weight: 1,
        deadline,
        queue_limit: 64,
        connections: 100,
        cold_rate: 14.0,
        avoid_suspected: true,
        floor: false,
    }
}

fn gate() -> (Arc<ManualClock>, Arc<Admission>) {
    let clock = Arc::new(ManualClock::new());
    let gate = Arc::new(Admission::new(Arc::clone(&clock) as Arc<dyn Clock>));
    (clock, gate)
}

async fn enter(gate: &Arc<Admission>, now: Instant) -> Result<Permit, Code> {
    gate.admit(&wish(now), now).await
}

#[tokio::test]
async fn a_gate_closes_when_its_target_drains_and_late_announcements_do_not_open_it() {
    let (clock, gate) = gate();
    let now = clock.now();
    assert!(gate.apply_announcement(said(5), now));
    let held = [enter(&gate, now).await, enter(&gate, now).await];
    assert!(held.iter().all(Result::is_ok));
    assert_eq!(enter(&gate, now).await.err(), Some(Code::Busy));
    let waits = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.admit(&wish(now + ms(5_000)), now).await.err() }
    });
    tokio::task::yield_now().await;
    let draining = Announcement {
        leaving: true,
        ..said(7)
    };
    assert!(gate.apply_announcement(draining, now));
    assert_eq!(waits.await.unwrap(), Some(Code::Busy), "it waits no longer");
    assert!(!gate.apply_announcement(said(6), now), "it was overtaken");
    gate.apply_announcement(said(8), now);
    drop(held);
    clock.advance(ms(20_000));
    gate.sweep(clock.now());
    gate.apply_announcement(said(6), clock.now());
    let refused = enter(&gate, clock.now()).await.err();
    assert_eq!(refused, Some(Code::NoTarget));
}

#[tokio::test]
async fn a_node_that_stops_sends_away_what_waits() {
    let (clock, gate) = gate();
    let now = clock.now();
    gate.apply_announcement(said(1), now);
    let held = [enter(&gate, now).await, enter(&gate, now).await];
    let waits = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.admit(&wish(now + ms(9_000)), now).await.err() }
    });
    tokio::task::yield_now().await;
    gate.close(now);
    drop(held);
    assert_eq!(waits.await.unwrap(), Some(Code::Busy));
    assert_eq!(enter(&gate, now).await.err(), Some(Code::Stopping));
}

#[tokio::test]
async fn the_target_that_was_started_last_has_the_address() {
    let (clock, gate) = gate();
    let now = clock.now();
    gate.apply_announcement(said(1), now);
    let next = Announcement {
        id: "orders-2".to_owned(),
        started_ms: 2_000,
        ..said(1)
    };
    assert!(gate.apply_announcement(next, now));
    assert!(!gate.apply_announcement(said(9), now), "its sender is gone");
    assert_eq!(enter(&gate, now).await.err(), Some(Code::NoTarget));
}

#[tokio::test]
async fn what_needs_care_leaves_a_target_that_becomes_doubtful() {
    let (clock, gate) = gate();
    let now = clock.now();
    gate.apply_announcement(said(1), now);
    let first = enter(&gate, now).await.unwrap();
    let second = enter(&gate, now).await.unwrap();
    gate.begin_exchange(&first, FailureTest::Objective(ORDER), false, now);
    let waits = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.admit(&wish(now + ms(9_000)), now).await.err() }
    });
    tokio::task::yield_now().await;
    clock.advance(ms(3_000));
    // A slot is free, but the request at the other one hangs.
    drop(second);
    assert_eq!(waits.await.unwrap(), Some(Code::Busy));
    let calm = OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    };
    gate.record_result(&first, ExchangeResult::Good(ms(3_000)), calm, clock.now());
}

#[tokio::test]
async fn a_target_that_fails_is_only_tried_now_and_then_where_the_floor_keeps_it_in() {
    let (clock, gate) = gate();
    gate.apply_announcement(said(1), clock.now());
    let calm = OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    };
    for _ in 0..4 {
        let now = clock.now();
        let plain = AdmissionRequest {
            avoid_suspected: false,
            ..wish(now)
        };
        let permit = gate.admit(&plain, now).await.unwrap();
        gate.begin_exchange(&permit, FailureTest::Objective(ORDER), false, now);
        gate.record_result(&permit, ExchangeResult::Error, calm, now);
        drop(permit);
        if gate.records(now)[0].state() == TargetState::Ejected {
            break;
        }
    }
    let kept_in = |careful, deadline| AdmissionRequest {
        avoid_suspected: careful,
        floor: true,
        ..wish(deadline)
    };
    let mut tried = 0;
    for _ in 0..20 {
        clock.advance(ms(50));
        let now = clock.now();
        let permit = gate.admit(&kept_in(false, now), now).await;
        if let Ok(permit) = permit {
            tried += 1;
            gate.begin_exchange(&permit, FailureTest::Objective(ORDER), false, now);
            gate.record_result(&permit, ExchangeResult::Error, calm, now);
        }
    }
    assert_eq!(tried, 2, "trials in a second");
    let now = clock.now();
    let careful = gate.admit(&kept_in(true, now), now).await;
    assert_eq!(careful.err(), Some(Code::Ejected), "no trial");
    let waits = gate.admit(&kept_in(true, now + ms(100)), now).await;
    assert!(waits.is_ok(), "nobody else took it");
}

#[tokio::test]
async fn exchanges_without_a_useful_objective_take_no_target_out() {
    let calm = OtherTargets {
        failure_share: 0.0,
        latency: ms(20),
    };
    for (test, state) in [
        (FailureTest::Off, TargetState::Warm),
        (FailureTest::Comparison, TargetState::Ejected),
    ] {
        let (clock, gate) = gate();
        gate.apply_announcement(said(1), clock.now());
        for _ in 0..8 {
            let now = clock.now();
            let Ok(permit) = enter(&gate, now).await else {
                break;
            };
            gate.begin_exchange(&permit, test, false, now);
            clock.advance(ms(400));
            gate.eject_overdue(|_, _| calm, clock.now());
            gate.record_result(&permit, ExchangeResult::Error, calm, clock.now());
        }
        assert_eq!(gate.records(clock.now())[0].state(), state, "{test:?}");
    }
}

#[tokio::test]
async fn a_target_that_nobody_has_asked_yet_is_no_colder_than_it_says() {
    let (clock, gate) = gate();
    gate.apply_announcement(said(1), clock.now());
    gate.configure(|service| (service == "orders").then_some((100, 14.0)));
    assert_eq!(gate.records(clock.now())[0].state(), TargetState::Warm);
}
