//! Random plans of overlapping faults; the same seed gives the same plan.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};

/// Time at which a fault starts, in milliseconds after the start of the load.
const START_MS: Range<u64> = 500..10_000;

/// Duration of a fault, in milliseconds.
const DURATION_MS: Range<u64> = 300..6_000;

/// Number of faults in a plan for every three nodes.
const FAULTS_PER_THREE_NODES: Range<usize> = 4..9;

/// What a fault does, and to which part of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Suspends a node.
    Freeze(usize),
    /// Kills a node, and starts it again at the end.
    Kill(usize),
    /// Sends a node the shutdown signal, and starts it again at the end.
    Terminate(usize),
    /// Suspends a target.
    FreezeTarget(usize),
    /// Changes the behaviour of a target's stand-in by these settings.
    Target(usize, Value),
    /// Changes the behaviour of the platform's stand-in by these settings.
    Platform(Value),
    /// Adds this rule to the relay: it cuts, delays or silences traffic.
    Relay(Value),
    /// Drains a data centre as an operator, and restores it at the end.
    Drain(&'static str),
    /// Withdraws beta's key as an operator; the end doesn't undo it.
    Withdraw,
}

/// A fault and its duration, in milliseconds after the start of the load.
#[derive(Debug, Clone)]
pub struct Fault {
    pub from_ms: u64,
    pub until_ms: u64,
    pub kind: FaultKind,
}

/// The faults and the load of one round.
#[derive(Debug)]
pub struct Plan {
    pub faults: Vec<Fault>,
    /// Requests of beta as a multiple of its rate; alpha's stay within its rate.
    pub beta_rate: f64,
}

/// Generates a plan for a fleet in which every node is the egress of one target.
pub fn generate(seed: u64, nodes: usize, data_centres: &[&'static str]) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS_PER_THREE_NODES) * nodes.div_ceil(3);
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let from_ms = rng.random_range(START_MS);
            Fault {
                from_ms,
                until_ms: from_ms + rng.random_range(DURATION_MS),
                kind: random_kind(&mut rng, nodes, data_centres),
            }
        })
        .collect();
    faults.sort_by_key(|f| f.from_ms);
    // At most one withdrawal of the key, and at most one data centre drained at a time.
    let mut withdrawn = false;
    let mut drained_until = 0;
    faults.retain(|fault| match fault.kind {
        FaultKind::Withdraw => !std::mem::replace(&mut withdrawn, true),
        FaultKind::Drain(_) if fault.from_ms < drained_until => false,
        FaultKind::Drain(_) => {
            drained_until = fault.until_ms;
            true
        }
        _ => true,
    });
    let beta_rate = if rng.random_bool(0.3) { 3.0 } else { 0.5 };
    Plan { faults, beta_rate }
}

fn random_kind(rng: &mut StdRng, nodes: usize, data_centres: &[&'static str]) -> FaultKind {
    let node = rng.random_range(0..nodes);
    let other = (node + rng.random_range(1..nodes)) % nodes;
    match rng.random_range(0..17) {
        0 | 1 => FaultKind::Freeze(node),
        2 | 3 => FaultKind::Kill(node),
        4 | 5 => FaultKind::Terminate(node),
        6 => FaultKind::FreezeTarget(node),
        7 | 8 => {
            let modes = ["slow", "error", "half", "hang", "shed", "dead"];
            let mode = *modes.choose(rng).expect("the list of modes is empty");
            FaultKind::Target(node, json!({ "mode": mode, "slow_ms": 900 }))
        }
        9 => FaultKind::Target(node, json!({ "turn_cold": true, "announce_cold": false })),
        10 => FaultKind::Platform(match rng.random_range(0..3) {
            0 => json!({ "down": true }),
            1 => json!({ "slow_ms": 400 }),
            _ => json!({ "lose_answers": 3 }),
        }),
        11 => FaultKind::Relay(json!({ "to": node, "from": other, "cut_forth": true })),
        12 => FaultKind::Relay(json!({ "to": node, "from": other, "cut_back": true })),
        13 => FaultKind::Relay(json!({ "from": node, "delay_ms": rng.random_range(20..500) })),
        14 => match rng.random_bool(0.5) {
            true => FaultKind::Relay(json!({ "silence": true })),
            false => FaultKind::Relay(json!({ "platform_of": node, "cut_back": true })),
        },
        15 => FaultKind::Drain(
            data_centres
                .choose(rng)
                .expect("the list of data centres is empty"),
        ),
        _ => FaultKind::Withdraw,
    }
}
