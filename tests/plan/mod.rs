//! A random plan of overlapping faults, the same for the same seed.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};

/// The span in which faults begin, and how long one lasts, in milliseconds.
const BEGINS: Range<u64> = 500..10_000;
const LASTS: Range<u64> = 300..6_000;

/// Faults of one plan for each three nodes.
const COUNT: Range<usize> = 4..9;

/// What goes wrong, or is done, for a while.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A node is suspended.
    Freeze(usize),
    /// A node is killed, and starts again at the end.
    Kill(usize),
    /// A node is told to stop, and starts again at the end.
    Stop(usize),
    /// A target is suspended.
    FreezeTarget(usize),
    /// A target behaves in a way that its stand-in knows.
    Target(usize, Value),
    /// The platform behaves in a way that its stand-in knows.
    Platform(Value),
    /// The relay does something to the way between two ends.
    Wire(Value),
    /// The operator takes a data centre out, and back at the end.
    Drain(&'static str),
    /// The operator withdraws beta's key, for good.
    Withdraw,
}

/// One fault.
#[derive(Debug, Clone)]
pub struct Fault {
    pub from_ms: u64,
    pub until_ms: u64,
    pub kind: Kind,
}

/// The faults and the load of one round.
#[derive(Debug)]
pub struct Plan {
    pub faults: Vec<Fault>,
    /// Requests a second of beta; alpha's stay within its rate.
    pub beta_rate: f64,
}

/// Draws a plan for a fleet whose every node guards one target.
pub fn draw(seed: u64, nodes: usize, centres: &[&'static str]) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(COUNT) * nodes.div_ceil(3);
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let from_ms = rng.random_range(BEGINS);
            Fault {
                from_ms,
                until_ms: from_ms + rng.random_range(LASTS),
                kind: kind(&mut rng, nodes, centres),
            }
        })
        .collect();
    faults.sort_by_key(|f| f.from_ms);
    // A key is withdrawn once at most, and one data centre is out at a time.
    let mut withdrawn = false;
    let mut out_until = 0;
    faults.retain(|fault| match fault.kind {
        Kind::Withdraw => !std::mem::replace(&mut withdrawn, true),
        Kind::Drain(_) if fault.from_ms < out_until => false,
        Kind::Drain(_) => {
            out_until = fault.until_ms;
            true
        }
        _ => true,
    });
    let beta_rate = if rng.random_bool(0.3) { 3.0 } else { 0.5 };
    Plan { faults, beta_rate }
}

fn kind(rng: &mut StdRng, nodes: usize, centres: &[&'static str]) -> Kind {
    let node = rng.random_range(0..nodes);
    let other = (node + rng.random_range(1..nodes)) % nodes;
    match rng.random_range(0..17) {
        0 | 1 => Kind::Freeze(node),
        2 | 3 => Kind::Kill(node),
        4 | 5 => Kind::Stop(node),
        6 => Kind::FreezeTarget(node),
        7 | 8 => {
            let modes = ["slow", "error", "half", "hang", "shed", "dead"];
            let mode = *modes.choose(rng).expect("there are modes");
            Kind::Target(node, json!({ "mode": mode, "slow_ms": 900 }))
        }
        9 => Kind::Target(node, json!({ "turn_cold": true, "announce_cold": false })),
        10 => Kind::Platform(match rng.random_range(0..3) {
            0 => json!({ "down": true }),
            1 => json!({ "slow_ms": 400 }),
            _ => json!({ "lose_answers": 3 }),
        }),
        11 => Kind::Wire(json!({ "to": node, "from": other, "cut_forth": true })),
        12 => Kind::Wire(json!({ "to": node, "from": other, "cut_back": true })),
        13 => Kind::Wire(json!({ "from": node, "delay_ms": rng.random_range(20..500) })),
        14 => match rng.random_bool(0.5) {
            true => Kind::Wire(json!({ "silence": true })),
            false => Kind::Wire(json!({ "platform_of": node, "cut_back": true })),
        },
        15 => Kind::Drain(centres.choose(rng).expect("there are data centres")),
        _ => Kind::Withdraw,
    }
}
