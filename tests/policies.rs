//! Policies for a service's targets: ejection and its floor, fair queues, adaptive limits, the
//! choice of a target, the avoidance of failing paths, and the schedule of a shutdown.

use std::time::{Duration, Instant};

use marjoramdyke::policy::{
    eject::{Detector, OtherTargets, TargetHealth, ejectable},
    limit::{ExchangeResult, Limit},
    path::PathHealth,
    pick::{Candidate, pick},
    queue::{FairQueue, StartLimits},
    shutdown::Shutdown,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Creates a runner that generates the same cases in each run.
fn runner() -> TestRunner {
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

#[test]
fn ejection_leaves_floor_of_slots_in_service() {
    let target = (0.0..20.0_f64, any::<bool>(), 0.0..1_000.0_f64);
    let service = (prop::collection::vec(target, 0..12), 0.0..=1.0_f64);
    runner()
        .run(&service, |(targets, floor)| {
            let healths: Vec<TargetHealth> = targets
                .iter()
                .map(|(slots, failing, severity)| TargetHealth {
                    slots: *slots,
                    failing: *failing,
                    severity: *severity,
                })
                .collect();
            let ejected = ejectable(&healths, floor);
            let total: f64 = healths.iter().map(|s| s.slots).sum();
            let pairs = || healths.iter().zip(&ejected);
            let remaining: f64 = pairs()
                .filter(|(_, ejected)| !**ejected)
                .map(|(s, _)| s.slots)
                .sum();
            prop_assert!(
                remaining + 1e-9 >= floor * total,
                "only {remaining} of {total} slots remain in service"
            );
            prop_assert!(
                pairs().all(|(s, ejected)| s.failing || !*ejected),
                "a healthy target is ejected"
            );
            Ok(())
        })
        .unwrap();
}

const HEALTHY_OTHERS: OtherTargets = OtherTargets {
    failure_share: 0.0,
    latency: Duration::from_millis(10),
};

#[test]
fn detector_ejects_failing_target_within_2_s_and_no_healthy_target() {
    let now = Instant::now();
    // 50 requests a second over 6 targets are about 8 a second for each, or 16 answers in 2 s.
    let mut failing = Detector::default();
    let ejected = (1..=16).find(|_| failing.record(true, HEALTHY_OTHERS, now));
    assert!(
        ejected.is_some(),
        "a target that always fails is not ejected within 2 s"
    );
    // Ejection may take longer, but at most 60 answers, if half of the answers are failures.
    let mut half = Detector::default();
    let ejected = (0..60).find(|i| half.record(i % 2 == 0, HEALTHY_OTHERS, now));
    assert!(
        ejected.is_some(),
        "a target that fails half of its requests is not ejected"
    );
    // One hour of six healthy targets at 8 requests a second, with one failure in a thousand answers.
    let mut rng = StdRng::seed_from_u64(11);
    let mut healthy = vec![Detector::default(); 6];
    let mut ejections = 0;
    for _ in 0..8 * 3_600 {
        for detector in &mut healthy {
            ejections += u32::from(detector.record(rng.random_bool(0.001), HEALTHY_OTHERS, now));
        }
    }
    assert_eq!(ejections, 0, "healthy targets were ejected");
}

#[test]
fn detector_does_not_eject_target_that_fails_like_the_others() {
    let others = OtherTargets {
        failure_share: 0.9,
        ..HEALTHY_OTHERS
    };
    let now = Instant::now();
    let mut detector = Detector::default();
    let ejected = (0..100).any(|i| detector.record(i % 10 != 0, others, now));
    assert!(
        !ejected,
        "a target that fails as often as the others is ejected"
    );
}

#[test]
fn repeated_ejection_lasts_twice_as_long() {
    let mut now = Instant::now();
    let mut detector = Detector::default();
    let mut durations = Vec::new();
    for _ in 0..4 {
        while !detector.record(true, HEALTHY_OTHERS, now) {}
        let start = now;
        while !detector.is_probe_due(now) {
            now += Duration::from_millis(100);
        }
        durations.push((now - start).as_secs());
        detector.restore(now);
    }
    assert_eq!(durations, [2, 4, 8, 16]);
}

#[test]
fn fair_queue_serves_organisations_by_weight() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let limits = StartLimits {
        timely: deadline,
        last: deadline,
    };
    let mut queue = FairQueue::default();
    for i in 0..30 {
        queue.push("large", 1, limits, ("large", i), 100);
    }
    for i in 0..10 {
        queue.push("small", 2, limits, ("small", i), 100);
    }
    let first: Vec<&str> = (0..15)
        .filter_map(|_| queue.pop(now, |_| {}))
        .map(|(name, _)| name)
        .collect();
    let small = first.iter().filter(|name| **name == "small").count();
    assert_eq!(
        small, 10,
        "weight 2 must get two of three requests: {first:?}"
    );
    // A full queue drops a request of the organisation with the most waiting requests.
    let dropped = queue.push("small", 2, limits, ("small", 99), queue.len());
    assert_eq!(dropped.map(|(name, _)| name), Some("large"));
    // Requests whose deadline has passed are reported as late and not served.
    let mut late = 0;
    assert!(queue.pop(deadline, |_| late += 1).is_none());
    assert!(late > 0 && queue.is_empty());
}

#[test]
fn limit_drops_on_refusal_and_slow_answers_and_rises_on_good_answers() {
    let mut limit = Limit::new(7, true);
    assert_eq!(
        limit.allowed(),
        1,
        "a new target starts with the limit of a cold one"
    );
    let good = ExchangeResult::Good(Duration::from_millis(5));
    for _ in 0..60 {
        limit.record(good, Duration::ZERO);
    }
    assert_eq!(limit.allowed(), 7);
    limit.record(ExchangeResult::Shed, Duration::ZERO);
    assert_eq!(limit.allowed(), 3);
    for _ in 0..60 {
        limit.record(good, Duration::ZERO);
    }
    let slow = ExchangeResult::Good(Duration::from_millis(200));
    for _ in 0..3 {
        limit.record(slow, Duration::from_millis(5));
    }
    assert_eq!(
        limit.allowed(),
        1,
        "slow answers must reduce the limit to that of a cold target"
    );
}

#[test]
fn pick_avoids_failing_paths_and_prefers_local_targets() {
    let mut rng = StdRng::seed_from_u64(1);
    let remote = Candidate {
        local: false,
        load: 0.0,
        slots: 7.0,
        avoided: false,
        cold: false,
    };
    let local = Candidate {
        local: true,
        load: 3.0,
        ..remote
    };
    let avoided = Candidate {
        avoided: true,
        ..local
    };
    let full = Candidate { load: 7.0, ..local };
    assert_eq!(pick(&[], &mut rng), None);
    for _ in 0..200 {
        assert_eq!(pick(&[remote, local, avoided], &mut rng), Some(1));
        assert_eq!(pick(&[remote, full], &mut rng), Some(0));
        assert_eq!(
            pick(&[avoided], &mut rng),
            Some(0),
            "an avoided target must be picked if it is the only one"
        );
    }
}

#[test]
fn repeated_path_failure_prolongs_avoidance() {
    let now = Instant::now();
    let mut path = PathHealth::default();
    path.record_failure(now);
    assert!(path.is_avoided(now) && !path.is_avoided(now + Duration::from_millis(500)));
    path.record_failure(now);
    assert!(path.is_avoided(now + Duration::from_millis(900)));
    path.record_success();
    assert!(!path.is_avoided(now));
}

#[test]
fn last_answers_fall_in_last_sixth_of_grace_period_of_overlapping_roll_out() {
    let signalled = Instant::now();
    let grace = Duration::from_secs(6);
    let shutdown = Shutdown { signalled, grace };
    let (answer, end) = (shutdown.answer_at(), shutdown.end_at());
    // Another roll-out may start before the first has ended. The node gets no signal for it, but the
    // last answers must fall in the last sixth of its grace period as well.
    let later = signalled + Duration::from_millis(800);
    assert!(answer >= later + grace * 5 / 6);
    // The node sends the last answers and exits before it is killed.
    assert!(answer < end && end < signalled + grace);
}
