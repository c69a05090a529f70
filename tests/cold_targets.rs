//! The pace of starts at targets that may be cold: the bound of a cold target holds whenever it restarts, and a
//! warm target is kept busy. All runs are in virtual time.

use std::time::{Duration, Instant};

use marjoramdyke::policy::pace::{Answer, ColdStart, Pace};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// How many times longer a cold target works on a request.
const COLD_SLOWDOWN: u32 = 2;

const COLD_DURATION: Duration = Duration::from_secs(3);

/// What targets of the users' deployments can take during a cold start: the rate, and the requests that may
/// arrive within one second beyond half of the rate on top of it.
const DEPLOYMENTS: [(f64, f64); 6] = [
    (14.0, 5.0),
    (19.0, 5.0),
    (11.0, 5.0),
    (14.0, 8.0),
    (9.8, 8.0),
    (7.7, 10.0),
];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn cold_start((rate, slack): (f64, f64)) -> ColdStart {
    ColdStart {
        rate,
        burst: 0.5 * rate + slack,
        duration: COLD_DURATION,
    }
}

/// Counts items, as a number that can be compared with a bound.
fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    f64::from(u32::try_from(items.count()).unwrap())
}

/// An exchange of a [`Simulation`].
struct Running {
    sent: Instant,
    opened: Instant,
    ends: Instant,
}

/// How a simulated target becomes cold.
#[derive(Clone, Copy)]
enum Cold {
    /// It restarts, which breaks its connections.
    Restart,
    /// It only becomes slower.
    InPlace,
}

/// A target with requests that wait for it all the time.
struct Simulation {
    limits: ColdStart,
    slots: usize,
    work: Duration,
    cold_at: Instant,
    cold: Cold,
}

impl Simulation {
    /// Runs until `end`, and returns the times at which requests were started.
    fn run(&self, start: Instant, end: Instant) -> Vec<Instant> {
        let mut pace = Pace::new(start);
        let mut running: Vec<Running> = Vec::new();
        // When the idle connections were opened.
        let mut idle: Vec<Instant> = Vec::new();
        let mut starts = Vec::new();
        let mut now = start;
        let mut was_cold = false;
        while now < end {
            let is_cold = now >= self.cold_at && now < self.cold_at + COLD_DURATION;
            if is_cold && !was_cold && matches!(self.cold, Cold::Restart) {
                running.clear();
                idle.clear();
            }
            was_cold = is_cold;
            for ended in running.extract_if(.., |r| r.ends <= now) {
                let answer = Answer {
                    opened: ended.opened,
                    sent: ended.sent,
                    latency: ended.ends - ended.sent,
                };
                if self.limits.is_warm(&answer, self.work) {
                    pace.record_proof(&self.limits, answer.sent);
                }
                idle.push(ended.opened);
            }
            while running.len() < self.slots && pace.may_start(&self.limits, false, now) {
                pace.record_start(now);
                starts.push(now);
                let slowdown = if is_cold { COLD_SLOWDOWN } else { 1 };
                running.push(Running {
                    sent: now,
                    opened: idle.pop().unwrap_or(now),
                    ends: now + self.work * slowdown,
                });
            }
            now += ms(1);
        }
        starts
    }

    fn describe(&self) -> String {
        let Self {
            limits,
            slots,
            work,
            ..
        } = self;
        format!("{slots} slots, work of {work:?}, {limits:?}")
    }
}

/// Builds simulations over all deployments, from 1 to 16 slots and work from 5 ms to 5 s.
fn simulations(start: Instant, cold_at: Duration, cold: Cold) -> Vec<Simulation> {
    let mut simulations = Vec::new();
    for deployment in DEPLOYMENTS {
        for slots in [1, 4, 7, 8, 15, 16] {
            for work in [5, 60, 165, 670, 5_000] {
                simulations.push(Simulation {
                    limits: cold_start(deployment),
                    slots,
                    work: ms(work),
                    cold_at: start + cold_at,
                    cold,
                });
            }
        }
    }
    simulations
}

/// Asserts that no second of a cold start has more starts than a cold target takes.
fn assert_bounded(simulation: &Simulation, starts: &[Instant]) {
    let cold_end = simulation.cold_at + COLD_DURATION;
    let during: Vec<Instant> = starts
        .iter()
        .copied()
        .filter(|s| (simulation.cold_at..cold_end).contains(s))
        .collect();
    let bound = simulation.limits.rate + simulation.limits.burst;
    for (i, first) in during.iter().enumerate() {
        let within = during[i..].iter().take_while(|s| **s < *first + ms(1_000));
        let most = count(within);
        let run = simulation.describe();
        assert!(
            most <= bound,
            "{run}: {most} starts in a second, {bound} allowed"
        );
    }
}

#[test]
fn starts_at_target_that_restarts_unnoticed_stay_within_bound_at_any_moment() {
    let start = Instant::now();
    for moment in (0..8_000).step_by(617) {
        for simulation in simulations(start, ms(moment), Cold::Restart) {
            let starts = simulation.run(start, start + ms(moment + 3_500));
            assert_bounded(&simulation, &starts);
        }
    }
}

#[test]
fn starts_at_target_that_becomes_cold_in_place_stay_within_bound() {
    let start = Instant::now();
    for moment in (0..8_000).step_by(617) {
        for simulation in simulations(start, ms(moment), Cold::InPlace) {
            let starts = simulation.run(start, start + ms(moment + 3_500));
            assert_bounded(&simulation, &starts);
        }
    }
}

#[test]
fn warm_target_with_waiting_requests_is_kept_busy() {
    let start = Instant::now();
    let never = Duration::from_secs(3_600);
    for simulation in simulations(start, never, Cold::Restart) {
        let (from, until) = (start + ms(10_000), start + ms(30_000));
        let starts = simulation.run(start, until);
        let started = count(starts.iter().filter(|s| **s >= from));
        let work = simulation.work.as_secs_f64();
        let slots = f64::from(u32::try_from(simulation.slots).unwrap());
        // Requests that may run before the first of them proves anything.
        let unproven = simulation.limits.burst - 1.0 + simulation.limits.rate * work;
        let wanted = 0.9 * slots.min(unproven) / work * 20.0 - slots;
        let run = simulation.describe();
        assert!(
            started >= wanted,
            "{run}: {started} requests in 20 s, wanted {wanted}"
        );
    }
}

#[test]
fn pace_without_proofs_limits_starts_in_any_second() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut pace = Pace::new(start);
        let limits = cold_start((14.0, 5.0));
        let mut starts: Vec<Instant> = Vec::new();
        let mut now = start;
        for _ in 0..4_000 {
            now += Duration::from_micros(rng.random_range(0..20_000));
            // The bound must hold although the target turns cold and warm at random.
            let cold = rng.random_bool(0.5);
            if pace.may_start(&limits, cold, now) {
                pace.record_start(now);
                starts.push(now);
            }
        }
        for (i, first) in starts.iter().enumerate() {
            let within = starts[i..].iter().take_while(|s| **s < *first + ms(1_000));
            let bound = 1.5 * limits.rate + 5.0;
            assert!(
                count(within) <= bound,
                "seed {seed}: too many starts in one second"
            );
        }
        assert!(starts.len() > 400, "seed {seed}: too few requests start");
    }
}
