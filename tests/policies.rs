//! Decisions about targets: ejection and its floor, fair queues, limits, choice.

use std::time::{Duration, Instant};

use marjoramdyke::policy::{
    eject::{Detector, OtherTargets, TargetHealth, ejectable},
    limit::{ExchangeResult, Limit},
    path::PathHealth,
    pick::{Candidate, pick},
    queue::FairQueue,
    shutdown::Shutdown,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn runner() -> TestRunner {
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

#[test]
fn ejection_never_goes_below_the_floor() {
    let target = (0.0..20.0_f64, any::<bool>(), 0.0..1_000.0_f64);
    let service = (prop::collection::vec(target, 0..12), 0.0..=1.0_f64);
    runner()
        .run(&service, |(targets, floor)| {
            let standings: Vec<TargetHealth> = targets
                .iter()
                .map(|(slots, failing, badness)| TargetHealth {
                    slots: *slots,
                    failing: *failing,
                    severity: *badness,
                })
                .collect();
            let out = ejectable(&standings, floor);
            let total: f64 = standings.iter().map(|s| s.slots).sum();
            let pairs = || standings.iter().zip(&out);
            let left: f64 = pairs()
                .filter(|(_, out)| !**out)
                .map(|(s, _)| s.slots)
                .sum();
            prop_assert!(left + 1e-9 >= floor * total, "{left} of {total} left");
            prop_assert!(
                pairs().all(|(s, out)| s.failing || !*out),
                "a healthy target is out"
            );
            Ok(())
        })
        .unwrap();
}

const CALM: OtherTargets = OtherTargets {
    failure_share: 0.0,
    latency: Duration::from_millis(10),
};

#[test]
fn a_hard_failure_is_found_soon_and_a_healthy_target_is_left_alone() {
    let now = Instant::now();
    // 50 requests a second over 6 targets leave 8 a second to one: 2 s are 16 answers.
    let mut failing = Detector::default();
    let found = (1..=16).find(|_| failing.record(true, CALM, now));
    assert!(found.is_some(), "not found within 2 s");
    // Half of the answers bad takes longer, but not much.
    let mut half = Detector::default();
    let found = (0..60).find(|i| half.record(i % 2 == 0, CALM, now));
    assert!(found.is_some(), "half bad answers are not found");
    // A calm hour of six targets at 8 requests a second, with one answer in a thousand bad.
    let mut rng = StdRng::seed_from_u64(11);
    let mut healthy = vec![Detector::default(); 6];
    let mut ejections = 0;
    for _ in 0..8 * 3_600 {
        for detector in &mut healthy {
            ejections += u32::from(detector.record(rng.random_bool(0.001), CALM, now));
        }
    }
    assert_eq!(ejections, 0, "false ejections in a calm hour");
}

#[test]
fn a_service_that_fails_as_a_whole_ejects_nobody_more_than_the_others() {
    let others = OtherTargets {
        failure_share: 0.9,
        ..CALM
    };
    let now = Instant::now();
    let mut detector = Detector::default();
    let ejected = (0..100).any(|i| detector.record(i % 10 != 0, others, now));
    assert!(!ejected, "a target as bad as the others is out");
}

#[test]
fn flapping_doubles_the_wait() {
    let mut now = Instant::now();
    let mut detector = Detector::default();
    let mut waits = Vec::new();
    for _ in 0..4 {
        while !detector.record(true, CALM, now) {}
        let out = now;
        while !detector.probe_due(now) {
            now += Duration::from_millis(100);
        }
        waits.push((now - out).as_secs());
        detector.restore(now);
    }
    assert_eq!(waits, [2, 4, 8, 16]);
}

#[test]
fn a_queue_serves_organisations_by_weight() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut queue = FairQueue::default();
    for i in 0..30 {
        queue.push("large", 1, deadline, ("large", i), 100);
    }
    for i in 0..10 {
        queue.push("small", 2, deadline, ("small", i), 100);
    }
    let first: Vec<&str> = (0..15)
        .filter_map(|_| queue.pop(now, |_| {}))
        .map(|(n, _)| n)
        .collect();
    let small = first.iter().filter(|n| **n == "small").count();
    assert_eq!(small, 10, "weight 2 gets two of three: {first:?}");
    // A full queue drops from the longest lane.
    let dropped = queue.push("small", 2, deadline, ("small", 99), queue.len());
    assert_eq!(dropped.map(|(n, _)| n), Some("large"));
    // What is too late is told so, and not served.
    let mut late = 0;
    assert!(queue.pop(deadline, |_| late += 1).is_none());
    assert!(late > 0 && queue.is_empty());
}

#[test]
fn a_limit_drops_at_once_and_climbs_on_good_answers() {
    let mut limit = Limit::new(7, true);
    assert_eq!(
        limit.allowed(),
        1,
        "a cold target is trusted with one request"
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
    assert_eq!(limit.allowed(), 1, "a target that turns cold is found");
}

#[test]
fn a_choice_avoids_what_fails_and_prefers_what_is_near() {
    let mut rng = StdRng::seed_from_u64(1);
    let far = Candidate {
        local: false,
        load: 0.0,
        slots: 7.0,
        avoided: false,
        cold: false,
    };
    let near = Candidate {
        local: true,
        load: 3.0,
        ..far
    };
    let avoided = Candidate {
        avoided: true,
        ..near
    };
    let full = Candidate { load: 7.0, ..near };
    assert_eq!(pick(&[], &mut rng), None);
    for _ in 0..200 {
        assert_eq!(pick(&[far, near, avoided], &mut rng), Some(1));
        assert_eq!(pick(&[far, full], &mut rng), Some(0));
        assert_eq!(pick(&[avoided], &mut rng), Some(0), "better than nothing");
    }
}

#[test]
fn a_path_that_fails_is_avoided_for_longer_each_time() {
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
fn last_answers_come_in_the_last_sixth_also_of_a_later_roll_out_and_before_the_kill() {
    let told = Instant::now();
    let grace = Duration::from_secs(6);
    let shutdown = Shutdown {
        signalled: told,
        grace,
    };
    let (answer, end) = (shutdown.answer_at(), shutdown.end_at());
    // A second roll-out that overlaps with the first, and of which the node hears nothing.
    let later = told + Duration::from_millis(800);
    assert!(answer >= later + grace * 5 / 6);
    assert!(answer < end && end < told + grace);
}
