//! The guard's ledger: whatever the order of events, a proof of "not run" is never wrong.

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
    Begin(u64),
    Start(u64),
    End(u64),
    Resolve(u64),
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
        (0_u64..8).prop_map(Step::Begin),
        (0_u64..8).prop_map(Step::Start),
        (0_u64..8).prop_map(Step::End),
        (0_u64..8).prop_map(Step::Resolve),
        (1_u64..1_200).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..60)
}

#[test]
fn what_was_proved_not_to_have_run_never_runs() {
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
            let (mut started, mut proved) = (HashSet::new(), HashSet::new());
            for step in steps {
                match step {
                    Step::Begin(i) => {
                        let _ = ledger.register(id(i));
                    }
                    Step::Start(i) if ledger.start(id(i)) => {
                        prop_assert!(!proved.contains(&i), "{i} runs after it was proved not to");
                        prop_assert!(started.insert(i), "{i} starts twice");
                    }
                    Step::Start(_) => {}
                    Step::End(i) => ledger.end(id(i), now),
                    Step::Resolve(i) => {
                        let resolution = ledger.resolve(id(i), now);
                        if matches!(resolution, Resolution::NeverSeen | Resolution::Cancelled) {
                            prop_assert!(!started.contains(&i), "{i} ran, and {resolution:?}");
                            proved.insert(i);
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
fn an_attempt_that_arrives_after_the_question_is_barred() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    assert_eq!(ledger.resolve(id(1), now), Resolution::NeverSeen);
    assert_eq!(ledger.register(id(1)), Err(Refusal::Barred));
    assert!(!ledger.start(id(1)));
}

#[test]
fn what_was_forgotten_is_not_called_not_run() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    assert_eq!(ledger.register(id(4)), Ok(()));
    assert!(ledger.start(id(4)));
    ledger.end(id(4), now);
    ledger.sweep(now + RETENTION);
    assert!(ledger.is_empty());
    assert_eq!(ledger.resolve(id(4), now), Resolution::Forgotten);
    assert_eq!(ledger.register(id(2)), Err(Refusal::TooOld));
}
