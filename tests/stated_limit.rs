//! Limits of requests a second that targets state in their responses.

mod one_target;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    clock::Clock,
    policy::{
        eject::OtherTargets,
        limit::ExchangeResult,
        pace::ColdStart,
        queue::Rank,
        stated_limit::{StatedLimit, StatedRate},
    },
    proxy::{Admission, Code, Permit},
};
use one_target::{RANK, TARGET, UNPACED, admission, request};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::{JoinHandle, yield_now},
    time::timeout,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Requests admission without waiting, with a pace that doesn't hold requests back.
async fn admit(admission: &Arc<Admission>, now: Instant) -> Result<Permit, Code> {
    admission.admit(&request(now, UNPACED), now).await
}

/// Starts four requests that wait at the target for up to five seconds.
async fn start_waiting(admission: &Arc<Admission>, now: Instant) -> Vec<JoinHandle<Option<Code>>> {
    let start = |_| {
        let admission = Arc::clone(admission);
        tokio::spawn(async move {
            admission
                .admit(&request(now + ms(5_000), ColdStart::default()), now)
                .await
                .err()
        })
    };
    let waiting = (0..4).map(start).collect();
    yield_now().await;
    waiting
}

#[test]
fn limited_starts_stay_within_bound_in_every_window_of_4_s() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = rng.random_range(0.3..20.0);
        let start = Instant::now();
        let mut limit = StatedLimit::new(rate, start);
        let mut starts: Vec<f64> = Vec::new();
        let mut at = 0.0;
        while at < 60.0 {
            at += rng.random_range(0.0..0.3);
            let now = start + Duration::from_secs_f64(at);
            if rng.random_bool(0.1) {
                limit.restate(rate, now);
            }
            while limit.may_start(now) && rng.random_bool(0.95) {
                limit.record_start();
                starts.push(at);
            }
        }
        let bound = 1.5 * rate * 4.0 + 5.0;
        for (i, first) in starts.iter().enumerate() {
            let window = starts[i..].iter().take_while(|s| **s < first + 4.0);
            let count = f64::from(u32::try_from(window.count()).unwrap());
            assert!(count <= bound, "seed {seed}: {count} starts, limit {rate}");
        }
        #[expect(clippy::cast_precision_loss)]
        let used = starts.len() as f64;
        assert!(
            used >= 0.8 * rate * 60.0,
            "seed {seed}: {used} starts, limit {rate}"
        );
    }
}

#[test]
fn malformed_rates_are_told_from_missing_ones() {
    assert_eq!(StatedRate::parse(None), StatedRate::Unlimited);
    assert_eq!(StatedRate::parse(Some(" 2.5 ")), StatedRate::Limited(2.5));
    assert_eq!(StatedRate::parse(Some("0")), StatedRate::Limited(0.0));
    for text in ["", "fast", "-1", "NaN", "inf", "1,5"] {
        assert_eq!(
            StatedRate::parse(Some(text)),
            StatedRate::Malformed,
            "{text}"
        );
    }
}

/// A node that has just restarted doesn't know the limit until the first response, and other nodes still send to
/// the target.
#[tokio::test]
async fn target_that_has_not_responded_gets_few_requests_at_once() {
    let (clock, admission) = admission(15);
    let mut permits = Vec::new();
    for _ in 0..20 {
        clock.advance(ms(100));
        permits.extend(admit(&admission, clock.now()).await);
    }
    assert_eq!(permits.len(), 4);
    let now = clock.now();
    admission.apply_stated_rate(TARGET, StatedRate::Unlimited, now, now);
    assert!(admit(&admission, now).await.is_ok());
}

#[tokio::test]
async fn earlier_request_without_limit_does_not_end_limit() {
    let (clock, admission) = admission(15);
    let sent = clock.now();
    clock.advance(ms(1_000));
    let now = clock.now();
    assert!(admission.apply_stated_rate(TARGET, StatedRate::Limited(1.0), sent, now));
    assert!(!admission.apply_stated_rate(TARGET, StatedRate::Unlimited, sent, now));
    assert!(!admission.apply_stated_rate(TARGET, StatedRate::Malformed, now, now));
    assert_eq!(admit(&admission, now).await.err(), Some(Code::Busy));
    assert!(admission.apply_stated_rate(TARGET, StatedRate::Unlimited, now, now));
    assert!(admit(&admission, now).await.is_ok());
}

#[tokio::test]
async fn request_that_limit_makes_wait_too_long_is_refused_at_once() {
    let (clock, admission) = admission(15);
    let now = clock.now();
    admission.apply_stated_rate(TARGET, StatedRate::Limited(2.0), now, now);
    let waiting = start_waiting(&admission, now).await;
    assert_eq!(admission.expected_wait(TARGET, RANK), ms(2_500));
    let refused = admission
        .admit(&request(now + ms(2_000), ColdStart::default()), now)
        .await;
    assert_eq!(refused.err(), Some(Code::Overloaded));
    let urgent = Rank {
        external: false,
        ..RANK
    };
    assert_eq!(admission.expected_wait(TARGET, urgent), ms(500));
    for task in waiting {
        task.abort();
    }
}

/// Otherwise they would wait for a target that can no longer start them in time.
#[tokio::test]
async fn waiting_requests_are_cancelled_when_limit_falls_below_half() {
    let (clock, admission) = admission(15);
    let now = clock.now();
    admission.apply_stated_rate(TARGET, StatedRate::Limited(2.0), now, now);
    let waiting = start_waiting(&admission, now).await;
    for rate in [3.0, 1.9] {
        admission.apply_stated_rate(TARGET, StatedRate::Limited(rate), now, now);
        assert_eq!(admission.total_load(), 4, "a limit of {rate}");
    }
    admission.apply_stated_rate(TARGET, StatedRate::Limited(0.5), now, now);
    for task in waiting {
        let code = timeout(ms(1_000), task).await;
        assert_eq!(
            code.expect("a request still waits").unwrap(),
            Some(Code::Busy)
        );
    }
}

/// Ingress nodes choose by slots and load: a limited target runs few requests and would appear idle.
#[tokio::test]
async fn limited_target_is_reported_as_full_and_with_fewer_slots() {
    let (clock, admission) = admission(15);
    let now = clock.now();
    let permit = admit(&admission, now).await.unwrap();
    let others = OtherTargets {
        failure_share: 0.0,
        latency: Duration::ZERO,
    };
    admission.record_result(&permit, ExchangeResult::Good(ms(800)), others, now);
    drop(permit);
    assert_eq!(admission.load(TARGET), 0);
    admission.apply_stated_rate(TARGET, StatedRate::Limited(2.0), now, now);
    let slots = admission.records(now)[0].slots;
    assert_eq!(slots, 2, "2 a second of 0.8 s each keep two slots busy");
    assert_eq!(admission.load(TARGET), 2);
    clock.advance(ms(1_000));
    assert_eq!(admission.load(TARGET), 0, "a request may start now");
}
