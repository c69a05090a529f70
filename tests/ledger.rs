//! The egress node's ledger of attempts, under random orders of events.
//!
//! Guards against double execution: the ingress node repeats an attempt once the ledger has resolved
//! it as not run. Such an attempt must not have started before and must not start afterwards.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use marjoramdyke::policy::attempt::{AttemptId, Ledger, RETENTION, Refusal, Resolution};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

#[derive(Debug, Clone, Copy)]
enum Step {
    Register(u64),
    Start(u64),
    End(u64),
    Resolve(u64),
    /// Advances the clock by this many seconds.
    Wait(u64),
}

fn id(sequence: u64) -> AttemptId {
    AttemptId {
        ingress: sequence % 2,
        sequence,
        number: 1,
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0_u64..8).prop_map(Step::Register),
        (0_u64..8).prop_map(Step::Start),
        (0_u64..8).prop_map(Step::End),
        (0_u64..8).prop_map(Step::Resolve),
        (1_u64..1_200).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..60)
}

#[test]
fn attempt_resolved_as_not_run_never_starts() {
    let config = Config {
        cases: 20_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[2; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&steps(), |steps| {
            let mut ledger = Ledger::default();
            let mut now = Instant::now();
            let (mut started, mut not_run) = (HashSet::new(), HashSet::new());
            for step in steps {
                match step {
                    Step::Register(i) => {
                        let _ = ledger.register(id(i));
                    }
                    Step::Start(i) if ledger.start(id(i)) => {
                        prop_assert!(
                            !not_run.contains(&i),
                            "attempt {i} starts after it was resolved as not run"
                        );
                        prop_assert!(started.insert(i), "attempt {i} starts twice");
                    }
                    Step::Start(_) => {}
                    Step::End(i) => ledger.end(id(i), now),
                    Step::Resolve(i) => {
                        let resolution = ledger.resolve(id(i), now);
                        if matches!(resolution, Resolution::NeverSeen | Resolution::Cancelled) {
                            prop_assert!(
                                !started.contains(&i),
                                "attempt {i} started, but is resolved as {resolution:?}"
                            );
                            not_run.insert(i);
                        }
                    }
                    Step::Wait(seconds) => {
                        now += Duration::from_secs(seconds);
                        ledger.sweep(now);
                    }
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn ledger_bars_attempt_that_arrives_after_it_was_resolved() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    assert_eq!(ledger.resolve(id(1), now), Resolution::NeverSeen);
    assert_eq!(ledger.register(id(1)), Err(Refusal::Barred));
    assert!(!ledger.start(id(1)));
}

#[test]
fn ledger_does_not_resolve_dropped_attempt_as_not_run() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    assert_eq!(ledger.register(id(4)), Ok(()));
    assert!(ledger.start(id(4)));
    ledger.end(id(4), now);
    ledger.sweep(now + RETENTION);
    assert!(ledger.is_empty());
    assert_eq!(ledger.resolve(id(4), now), Resolution::Unknown);
    assert_eq!(ledger.register(id(2)), Err(Refusal::TooOld));
}
