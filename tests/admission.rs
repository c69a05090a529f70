//! Admission to targets, with the policies for routes that configure a latency objective and for
//! deployments that configure bounds: evidence of failure, pacing, shares of quotas, retry budgets and
//! ranked queues.

mod one_target;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    clock::Clock,
    fleet::codec::TargetState,
    policy::{
        budget::RetryBudget,
        eject::OtherTargets,
        limit::{ExchangeResult, TargetLimits},
        pace::ColdStart,
        queue::{Rank, RankedQueue, StartLimits},
        share::{Excess, Share, ShareSize},
        suspicion::{ExchangeEnd, LatencyClass, Suspicion},
    },
    proxy::{Admission, AdmissionRequest, Announcement, Code, FailureTest, Permit},
};
use one_target::{empty_admission, request};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Non-idempotent requests with an objective of 2.5 s.
const ORDER: LatencyClass = LatencyClass {
    objective: 2_500,
    idempotent: false,
};

/// What a target of the users' first deployment can take during a cold start.
const COLD_START: ColdStart = ColdStart {
    rate: 14.0,
    burst: 12.0,
    duration: Duration::from_secs(3),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Counts items, as a number that can be compared with a bound.
fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    f64::from(u32::try_from(items.count()).unwrap())
}

/// Creates a suspicion that has recorded a good answer after 800 ms each second for 40 s from
/// `start` on. The tests continue at 60 s, when these exchanges are no evidence any more but the
/// latency of [`ORDER`] is known.
fn suspicion_with_latency(start: Instant) -> Suspicion {
    let mut suspicion = Suspicion::default();
    for i in 0..40 {
        let started = start + ms(1_000 * i);
        suspicion.begin(i, ORDER, started);
        suspicion.end(i, ORDER, ExchangeEnd::Good, started + ms(800));
    }
    suspicion
}

#[test]
fn several_hanging_exchanges_exclude_target_before_they_end() {
    let start = Instant::now();
    let mut suspicion = suspicion_with_latency(start);
    let now = start + ms(60_000);
    for i in 0..4 {
        suspicion.begin(100 + i, ORDER, now + ms(150 * i));
    }
    assert!(
        !suspicion.is_excluded(now + ms(700)),
        "the exchanges have not yet run longer than usual"
    );
    assert!(suspicion.is_excluded(now + ms(2_000)));
}

#[test]
fn suspicion_uses_latency_of_class_and_ends_after_good_answers() {
    let start = Instant::now();
    let mut suspicion = suspicion_with_latency(start);
    let slow = LatencyClass {
        objective: 8_000,
        idempotent: true,
    };
    let now = start + ms(60_000);
    for i in 0..3 {
        suspicion.begin(200 + i, slow, now);
    }
    assert!(
        !suspicion.is_suspected(now + ms(2_000)),
        "a class with an objective of 8 s usually takes 2.8 s"
    );
    suspicion.begin(300, ORDER, now);
    assert!(
        suspicion.is_suspected(now + ms(1_400)),
        "one hanging order must be enough for suspicion"
    );
    for i in 0..3 {
        suspicion.begin(400 + i, ORDER, now + ms(1_400));
        suspicion.end(400 + i, ORDER, ExchangeEnd::Good, now + ms(2_100));
    }
    assert!(!suspicion.is_suspected(now + ms(2_100)));
}

#[test]
fn late_errors_do_not_exclude_target_but_early_errors_do() {
    let start = Instant::now();
    let mut suspicion = suspicion_with_latency(start);
    let now = start + ms(60_000);
    // The target's own calls may have caused late errors.
    for i in 0..6 {
        suspicion.begin(600 + i, ORDER, now);
        suspicion.end(600 + i, ORDER, ExchangeEnd::Error, now + ms(900));
    }
    assert!(!suspicion.is_excluded(now + ms(900)));
    for i in 0..4 {
        suspicion.begin(700 + i, ORDER, now + ms(900));
        suspicion.end(700 + i, ORDER, ExchangeEnd::Error, now + ms(904));
    }
    assert!(suspicion.is_excluded(now + ms(904)));
}

#[test]
fn exclusion_ends_within_6_s_without_exchanges() {
    let start = Instant::now();
    let mut suspicion = suspicion_with_latency(start);
    let now = start + ms(60_000);
    for i in 0..4 {
        suspicion.begin(500 + i, ORDER, now);
        suspicion.end(500 + i, ORDER, ExchangeEnd::Aborted, now + ms(10));
    }
    assert!(suspicion.is_excluded(now + ms(20)));
    assert!(!suspicion.is_excluded(now + ms(6_000)));
}

/// What the users' deployments tolerate beyond a quota.
const EXCESS: Excess = Excess {
    requests: 20.0,
    fraction: 0.1,
    window: 5.0,
};

/// A quota with the time in milliseconds from which it applies.
#[derive(Clone, Copy)]
struct Quota {
    from: u64,
    rate: f64,
    burst: u32,
}

impl Quota {
    fn share_size(&self) -> ShareSize {
        ShareSize::of(self.rate, self.burst, &EXCESS, 3)
    }

    /// Returns the number of requests in a window that the deployments allow.
    fn bound(&self) -> f64 {
        (self.rate * EXCESS.window + f64::from(self.burst)) * (1.0 + EXCESS.fraction)
            + EXCESS.requests
    }
}

/// Draws tokens of a quota with three shares, where a share that is used up gets tokens of the
/// others. `quotas` holds the quota and its later changes, and `requests` the time in milliseconds and the share
/// of each request; returns the times of those that were granted.
fn granted_times(quotas: &[Quota], requests: &[(u64, usize)]) -> Vec<u64> {
    let start = Instant::now();
    let mut shares = vec![Share::new(quotas[0].share_size(), start); 3];
    let mut granted = Vec::new();
    for (at, share) in requests {
        let now = start + ms(*at);
        let in_force = quotas.iter().rfind(|q| q.from <= *at).unwrap();
        let size = in_force.share_size();
        let mut is_granted = shares[*share].try_draw(size, now);
        for other in (0..3).filter(|o| o != share) {
            if !is_granted {
                let transferred = shares[other].transfer_out(size, 3, now);
                is_granted = shares[*share].draw_with(transferred, size, now);
            }
        }
        if is_granted {
            granted.push(*at);
        }
    }
    granted
}

#[test]
fn shares_of_quota_together_stay_within_tolerated_excess() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rate, burst) = (rng.random_range(1.0..60.0), rng.random_range(1..60));
        let mut at = 0;
        let requests: Vec<(u64, usize)> = (0..6_000)
            .map(|_| {
                at += rng.random_range(0..8);
                (at, rng.random_range(0..3))
            })
            .collect();
        let from = 0;
        let quota = Quota { from, rate, burst };
        let granted = granted_times(&[quota], &requests);
        assert!(
            most_in_window(&granted) <= quota.bound(),
            "seed {seed}: too many requests in one window"
        );
    }
}

/// Returns the greatest number of times in one window.
fn most_in_window(times: &[u64]) -> f64 {
    let in_window = |(i, first): (usize, &u64)| {
        let window = times[i..].iter().take_while(|at| **at < first + 5_000);
        count(window)
    };
    times.iter().enumerate().map(in_window).fold(0.0, f64::max)
}

/// Guards against tokens that were filled under a higher limit and are spent long after it was lowered.
#[test]
fn lowered_quota_binds_one_window_after_its_change() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let high = Quota {
            from: 0,
            rate: rng.random_range(20.0..200.0),
            burst: rng.random_range(20..200),
        };
        let low = Quota {
            from: rng.random_range(5_000..10_000),
            rate: rng.random_range(1.0..20.0),
            burst: rng.random_range(1..20),
        };
        let silent_until = low.from + rng.random_range(0..20_000);
        let mut at = 0;
        let requests: Vec<(u64, usize)> = (0..4_000)
            .map(|_| {
                at += rng.random_range(0..20);
                if (low.from..silent_until).contains(&at) {
                    at = silent_until;
                }
                (at, rng.random_range(0..3))
            })
            .collect();
        let granted = granted_times(&[high, low], &requests);
        let binds = low.from + 5_000;
        let after: Vec<u64> = granted.into_iter().filter(|at| *at >= binds).collect();
        let (most, bound) = (most_in_window(&after), low.bound());
        assert!(
            most <= bound,
            "seed {seed}: {most} requests in one window, {bound} allowed"
        );
    }
}

#[test]
fn empty_share_grants_nothing_until_it_is_refilled() {
    let size = ShareSize::of(30.0, 30, &EXCESS, 3);
    let start = Instant::now();
    let mut share = Share::empty(size, start + ms(1_000));
    assert!(!share.try_draw(size, start + ms(900)));
    assert_eq!(share.transfer_out(size, 3, start + ms(900)), 0);
    assert!(share.try_draw(size, start + ms(1_200)));
}

#[test]
fn quota_is_available_if_all_requests_come_to_one_data_centre() {
    // Requests at eight tenths of the rate, all in one data centre.
    let requests: Vec<(u64, usize)> = (0..400).map(|i| (i * 125, 0)).collect();
    let quota = Quota {
        from: 0,
        rate: 10.0,
        burst: 10,
    };
    let granted = granted_times(&[quota], &requests);
    assert_eq!(granted.len(), requests.len());
}

#[test]
fn retry_budget_keeps_reserve_and_makes_up_for_forced_attempts() {
    let mut budget = RetryBudget::new(10.0);
    let spent = (0..20).filter(|_| budget.try_spend(4.0)).count();
    assert_eq!(spent, 6);
    let spent = (0..20).filter(|_| budget.try_spend(0.0)).count();
    assert_eq!(spent, 4);
    budget.spend_forced();
    budget.spend_forced();
    budget.earn(2.5, 10.0);
    assert!(
        !budget.try_spend(0.0),
        "the budget must first make up for forced attempts"
    );
    budget.earn(0.5, 10.0);
    assert!(budget.try_spend(0.0));
}

#[test]
fn lowered_retry_budget_loses_its_excess() {
    let mut budget = RetryBudget::new(50.0);
    budget.earn(0.0, 5.0);
    let spent = (0..60).filter(|_| budget.try_spend(0.0)).count();
    assert_eq!(spent, 5);
}

fn rank(external: bool, route: u32) -> Rank {
    Rank {
        external,
        organisation: 0,
        route,
    }
}

#[test]
fn ranked_queue_serves_calls_first_and_drops_least_urgent_request() {
    let now = Instant::now();
    let deadline = now + ms(1_000);
    let limits = StartLimits {
        timely: deadline,
        last: deadline,
    };
    let mut queue = RankedQueue::default();
    for (item, rank) in [
        ("status", rank(true, 2)),
        ("order", rank(true, 1)),
        ("call", rank(false, 9)),
    ] {
        assert_eq!(queue.push(rank, "alpha", 1, limits, item, 3), None);
    }
    let dropped = queue.push(rank(true, 1), "beta", 1, limits, "second order", 3);
    assert_eq!(dropped, Some("status"));
    let mut order = Vec::new();
    while let Some(item) = queue.pop(now, |_| panic!("no deadline has passed")) {
        order.push(item);
    }
    assert_eq!(order, ["call", "order", "second order"]);
}

fn announcement(sequence: u64) -> Announcement {
    Announcement {
        sequence,
        lease: ms(10_000),
        ..one_target::announcement(2)
    }
}

fn admission_request(deadline: Instant) -> AdmissionRequest<'static> {
    AdmissionRequest {
        avoid_suspected: true,
        ..request(deadline, COLD_START)
    }
}

/// Where long requests occupy all slots, an interrupted one would be lost with its node before one is free.
#[tokio::test]
async fn interrupted_request_gets_one_slot_beyond_limit_of_busy_target() {
    let (clock, admission) = empty_admission();
    let now = clock.now();
    assert!(admission.apply_announcement(announcement(5), now));
    let _permits = [admit(&admission, now).await, admit(&admission, now).await];
    assert_eq!(admit(&admission, now).await.err(), Some(Code::Busy));
    let interrupted = AdmissionRequest {
        extra_slots: 1,
        ..admission_request(now)
    };
    let extra = admission.admit(&interrupted, now).await;
    assert!(extra.is_ok());
    let second = admission.admit(&interrupted, now).await;
    assert_eq!(second.err(), Some(Code::Busy));
}

/// Requests admission without waiting for a slot.
async fn admit(admission: &Arc<Admission>, now: Instant) -> Result<Permit, Code> {
    admission.admit(&admission_request(now), now).await
}

#[tokio::test]
async fn draining_target_refuses_requests_and_ignores_older_announcements() {
    let (clock, admission) = empty_admission();
    let now = clock.now();
    assert!(admission.apply_announcement(announcement(5), now));
    let permits = [admit(&admission, now).await, admit(&admission, now).await];
    assert!(permits.iter().all(Result::is_ok));
    assert_eq!(admit(&admission, now).await.err(), Some(Code::Busy));
    let waiting = tokio::spawn({
        let admission = Arc::clone(&admission);
        async move {
            admission
                .admit(&admission_request(now + ms(5_000)), now)
                .await
                .err()
        }
    });
    tokio::task::yield_now().await;
    let draining = Announcement {
        leaving: true,
        ..announcement(7)
    };
    assert!(admission.apply_announcement(draining, now));
    assert_eq!(
        waiting.await.unwrap(),
        Some(Code::Busy),
        "the waiting request must be refused when its target is leaving"
    );
    assert!(
        !admission.apply_announcement(announcement(6), now),
        "a newer announcement has been applied"
    );
    admission.apply_announcement(announcement(8), now);
    drop(permits);
    clock.advance(ms(20_000));
    admission.sweep(clock.now());
    admission.apply_announcement(announcement(6), clock.now());
    let refused = admit(&admission, clock.now()).await.err();
    assert_eq!(refused, Some(Code::NoTarget));
}

#[tokio::test]
async fn closing_admission_refuses_waiting_and_new_requests() {
    let (clock, admission) = empty_admission();
    let now = clock.now();
    admission.apply_announcement(announcement(1), now);
    let permits = [admit(&admission, now).await, admit(&admission, now).await];
    let waiting = tokio::spawn({
        let admission = Arc::clone(&admission);
        async move {
            admission
                .admit(&admission_request(now + ms(9_000)), now)
                .await
                .err()
        }
    });
    tokio::task::yield_now().await;
    admission.close(now);
    drop(permits);
    assert_eq!(waiting.await.unwrap(), Some(Code::Busy));
    assert_eq!(admit(&admission, now).await.err(), Some(Code::Stopping));
}

#[tokio::test]
async fn address_belongs_to_target_started_last() {
    let (clock, admission) = empty_admission();
    let now = clock.now();
    admission.apply_announcement(announcement(1), now);
    let next = Announcement {
        id: "orders-2".to_owned(),
        started_ms: 2_000,
        ..announcement(1)
    };
    assert!(admission.apply_announcement(next, now));
    assert!(
        !admission.apply_announcement(announcement(9), now),
        "another target with the same address was started later"
    );
    assert_eq!(admit(&admission, now).await.err(), Some(Code::NoTarget));
}

#[tokio::test]
async fn waiting_request_that_avoids_suspected_targets_is_refused_once_target_is_suspected() {
    let (clock, admission) = empty_admission();
    let now = clock.now();
    admission.apply_announcement(announcement(1), now);
    let first = admit(&admission, now).await.unwrap();
    let second = admit(&admission, now).await.unwrap();
    admission.begin_exchange(&first, FailureTest::Objective(ORDER), false, now);
    let waiting = tokio::spawn({
        let admission = Arc::clone(&admission);
        async move {
            admission
                .admit(&admission_request(now + ms(9_000)), now)
                .await
                .err()
        }
    });
    tokio::task::yield_now().await;
    clock.advance(ms(3_000));
    // A slot becomes free, but the request in the other slot hangs.
    drop(second);
    assert_eq!(waiting.await.unwrap(), Some(Code::Busy));
    let healthy_others = OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    };
    admission.record_result(
        &first,
        ExchangeResult::Good(ms(3_000)),
        healthy_others,
        clock.now(),
    );
}

#[tokio::test]
async fn suspected_target_without_requests_is_tried_by_one_that_may_be_repeated() {
    let stated = TargetLimits {
        stated_slots: true,
        ..one_target::limits(ColdStart::default())
    };
    for (limits, admitted) in [(stated, true), (one_target::limits(COLD_START), false)] {
        let (clock, admission) = empty_admission();
        admission.apply_announcement(announcement(1), clock.now());
        let now = clock.now();
        let call = |repeatable, now| AdmissionRequest {
            limits,
            repeatable,
            ..admission_request(now)
        };
        let hanging = admission.admit(&call(true, now), now).await.unwrap();
        admission.begin_exchange(&hanging, FailureTest::Objective(ORDER), false, now);
        clock.advance(ms(1_400));
        let now = clock.now();
        let early = admission.admit(&call(true, now), now).await;
        assert_eq!(
            early.err(),
            Some(Code::Doubtful),
            "the last start is recent"
        );
        clock.advance(ms(200));
        let now = clock.now();
        let order = admission.admit(&call(false, now), now).await;
        assert_eq!(order.err(), Some(Code::Doubtful));
        let trial = admission.admit(&call(true, now), now).await;
        assert_eq!(trial.is_ok(), admitted, "{limits:?}");
        let second = admission.admit(&call(true, now), now).await;
        assert_eq!(second.err(), Some(Code::Doubtful), "one trial is enough");
    }
}

#[tokio::test]
async fn ejected_target_that_floor_keeps_in_use_gets_occasional_trials() {
    let (clock, admission) = empty_admission();
    admission.apply_announcement(announcement(1), clock.now());
    let healthy_others = OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    };
    for _ in 0..4 {
        let now = clock.now();
        let request = AdmissionRequest {
            avoid_suspected: false,
            ..admission_request(now)
        };
        let permit = admission.admit(&request, now).await.unwrap();
        admission.begin_exchange(&permit, FailureTest::Objective(ORDER), false, now);
        admission.record_result(&permit, ExchangeResult::Error, healthy_others, now);
        drop(permit);
        if admission.records(now)[0].state() == TargetState::Ejected {
            break;
        }
    }
    let floor_request = |avoid_suspected, deadline| AdmissionRequest {
        avoid_suspected,
        floor: true,
        extra_slots: 0,
        ..admission_request(deadline)
    };
    let mut trials = 0;
    for _ in 0..20 {
        clock.advance(ms(50));
        let now = clock.now();
        let permit = admission.admit(&floor_request(false, now), now).await;
        if let Ok(permit) = permit {
            trials += 1;
            admission.begin_exchange(&permit, FailureTest::Objective(ORDER), false, now);
            admission.record_result(&permit, ExchangeResult::Error, healthy_others, now);
        }
    }
    assert_eq!(trials, 2, "wrong number of trials in a second");
    let now = clock.now();
    let refused = admission.admit(&floor_request(true, now), now).await;
    assert_eq!(
        refused.err(),
        Some(Code::Ejected),
        "a request that avoids suspected targets must not be a trial"
    );
    let retried = admission
        .admit(&floor_request(true, now + ms(100)), now)
        .await;
    assert!(
        retried.is_ok(),
        "a request that other targets refused must be admitted"
    );
}

#[tokio::test]
async fn failure_test_decides_whether_exchanges_eject_target() {
    let healthy_others = OtherTargets {
        failure_share: 0.0,
        latency: ms(20),
    };
    for (test, state) in [
        (FailureTest::Off, TargetState::Warm),
        (FailureTest::Comparison, TargetState::Ejected),
    ] {
        let (clock, admission) = empty_admission();
        admission.apply_announcement(announcement(1), clock.now());
        for _ in 0..8 {
            let now = clock.now();
            let Ok(permit) = admit(&admission, now).await else {
                break;
            };
            admission.begin_exchange(&permit, test, false, now);
            clock.advance(ms(400));
            admission.eject_overdue(|_, _| healthy_others, clock.now());
            admission.record_result(&permit, ExchangeResult::Error, healthy_others, clock.now());
        }
        assert_eq!(admission.records(clock.now())[0].state(), state, "{test:?}");
    }
}

#[tokio::test]
async fn target_without_requests_is_warm_if_announced_so() {
    let (clock, admission) = empty_admission();
    admission.apply_announcement(announcement(1), clock.now());
    admission.configure(|service| (service == "orders").then_some(one_target::limits(COLD_START)));
    assert_eq!(admission.records(clock.now())[0].state(), TargetState::Warm);
}
