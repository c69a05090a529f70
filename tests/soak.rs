//! A soak: random overlapping faults against the real programs, judged while it runs. See
//! docs/SOAK.md.

mod checker;
mod plan;
mod player;
mod testenv;

use std::{
    collections::HashMap,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use checker::{Allowance, Told, judge};
use clap::Parser;
use plan::{Fault, Kind, Plan, draw};
use player::{Workload, load, micros, resolve_rules, settled, summary, thaw};
use serde_json::{Value, json};
use testenv::{Fleet, KEY, OTHER_KEY, config_with, order, spec};
use tokio::time::{sleep, sleep_until, timeout};

/// Seeds that failed once, each with a line on its cause; they are played in every run without `--seed`.
const KEPT: &str = include_str!("soak-seeds.txt");

/// Rate and burst of each organisation.
const RATE: f64 = 60.0;
const BURST: u32 = 60;

/// Requests a second of alpha.
const ALPHA_RATE: f64 = 40.0;

/// How long callers send; the faults end before.
const LOAD_SECONDS: f64 = 18.0;

/// Stated bound from a withdrawal or drain that is accepted to the last start.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Stated bound from the end of all faults until requests are served again.
const RECOVERED: Duration = Duration::from_secs(15);

/// Orders in a row that show that requests are served again.
const SERVED_IN_A_ROW: usize = 20;

/// How often promises are checked during a round.
const JUDGE_EVERY: Duration = Duration::from_secs(3);

/// Longest wait until a target that is not suspended has taken an order.
const ORDER_TAKEN: Duration = Duration::from_millis(200);

/// Processes beside the nodes and targets: the platform and the relay.
const STANDINS: usize = 2;

const CENTRES: [&str; 3] = ["kochi", "thrissur", "kollam"];

/// Plays random faults against a fleet of real processes.
#[derive(Parser)]
struct Args {
    /// Play this seed, and those after it while there is time.
    #[arg(long)]
    seed: Option<u64>,
    /// Begin no further round after this many minutes.
    #[arg(long, default_value_t = 0.0)]
    minutes: f64,
    /// Processes of a fleet.
    #[arg(long, default_value_t = 8)]
    processes: usize,
    /// Tests to leave out, as the other test programs take it.
    #[arg(long)]
    skip: Vec<String>,
    /// Only tests with this in their name, as the other test programs take it.
    filter: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let left_out = args.skip.iter().any(|s| "soak".contains(s.as_str()));
    if left_out || args.filter.is_some_and(|f| !"soak".contains(&*f)) {
        return ExitCode::SUCCESS;
    }
    let nodes = (args.processes.saturating_sub(STANDINS) / 2).max(CENTRES.len());
    let begun = Instant::now();
    let limit = Duration::from_secs_f64(args.minutes * 60.0);
    let mut failed = 0;
    let mut played = 0;
    let kept = kept();
    let first = args.seed.unwrap_or(1);
    let seeds = match args.seed {
        Some(_) => Vec::new(),
        None => kept,
    };
    for seed in seeds.into_iter().chain(first..) {
        let fresh = seed >= first && played >= usize::from(args.seed.is_none());
        if played > 0 && fresh && begun.elapsed() >= limit {
            break;
        }
        played += 1;
        failed += usize::from(!passes(seed, nodes));
    }
    println!("{} passed, {failed} failed", played - failed);
    ExitCode::from(u8::from(failed > 0))
}

/// Returns the seeds that are kept.
fn kept() -> Vec<u64> {
    let lines = KEPT.lines().filter(|l| !l.starts_with('#'));
    lines
        .filter_map(|l| l.split_whitespace().next()?.parse().ok())
        .collect()
}

/// Plays one seed and prints what came of it.
fn passes(seed: u64, nodes: usize) -> bool {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let plan = draw(seed, nodes, &CENTRES);
    let begun = Instant::now();
    let (broken, told) = runtime.block_on(round(seed, nodes, &plan));
    let verdict = if broken.is_empty() { "ok" } else { "FAILED" };
    let took = begun.elapsed().as_secs();
    println!(
        "soak --seed {seed}: {nodes} nodes, {} faults, {} requests, {took} s ... {verdict}",
        plan.faults.len(),
        told.len()
    );
    if broken.is_empty() {
        return true;
    }
    for line in &broken {
        println!("  broken: {line}");
    }
    for fault in &plan.faults {
        println!(
            "  {:>6} to {:>6} ms {:?}",
            fault.from_ms, fault.until_ms, fault.kind
        );
    }
    println!("{}", summary(&told));
    false
}

/// A time in which nothing may start, and where.
struct Quiet {
    why: String,
    from_us: u64,
    until_us: u64,
    organisation: Option<&'static str>,
    targets: Vec<String>,
}

impl Quiet {
    fn is_broken_by(&self, execution: &Value) -> bool {
        let at = execution["at_us"].as_u64().unwrap_or(0);
        let target = execution["target"].as_str().unwrap_or("");
        at > self.from_us
            && at < self.until_us
            && self
                .organisation
                .is_none_or(|o| execution["organisation"] == o)
            && (self.targets.is_empty() || self.targets.iter().any(|t| t == target))
    }
}

/// Plays one plan; returns what was broken, and what callers were told.
async fn round(seed: u64, nodes: usize, plan: &Plan) -> (Vec<String>, Vec<Told>) {
    let mut wanted = spec(nodes);
    wanted.targets.retain(|t| t.service == "orders");
    wanted.config = config_with(RATE, BURST, "");
    wanted.wire = true;
    let mut fleet = Fleet::start(wanted).await;
    let begun = Instant::now();
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let mut loads = Vec::new();
    for workload in workloads(seed, plan) {
        let addresses = (0..nodes).map(|i| fleet.callers(i)).collect();
        loads.push(tokio::spawn(load(
            workload,
            addresses,
            begun,
            Arc::clone(&told),
        )));
    }
    let mut quiet = Vec::new();
    let mut broken = Vec::new();
    let mut judged = begun;
    let mut active: Vec<&Fault> = Vec::new();
    for (at_ms, fault, begins) in events(plan) {
        sleep_until((begun + Duration::from_millis(at_ms)).into()).await;
        match begins {
            true => active.push(fault),
            false => active.retain(|f| !std::ptr::eq(*f, fault)),
        }
        apply(&mut fleet, fault, begins, &active, &mut quiet).await;
        // A suspended target does not tell what it ran.
        let silent = active
            .iter()
            .any(|f| matches!(f.kind, Kind::FreezeTarget(_)));
        if !silent && judged.elapsed() >= JUDGE_EVERY {
            judged = Instant::now();
            let seen = told.lock().expect("no panic").clone();
            broken = judge_all(&seen, &fleet.executions().await, &quiet);
            if !broken.is_empty() {
                break;
            }
        }
    }
    if broken.is_empty() {
        broken.extend(recovers(&mut fleet).await);
        for load in loads {
            let _ = load.await;
        }
        thaw(&fleet).await;
        let seen = told.lock().expect("no panic").clone();
        broken.extend(judge_all(&seen, &settled(&fleet).await, &quiet));
    }
    let told = told.lock().expect("no panic").clone();
    (broken, told)
}

fn workloads(seed: u64, plan: &Plan) -> [Workload; 3] {
    let workload = |method: &str, organisation: &str, rate, number| Workload {
        method: method.to_owned(),
        path: "/orders/new".to_owned(),
        organisation: organisation.to_owned(),
        entries: Vec::new(),
        rate,
        seconds: LOAD_SECONDS,
        seed: 10 * seed + number,
        kept: true,
    };
    [
        workload("POST", "alpha", ALPHA_RATE / 2.0, 0),
        workload("GET", "alpha", ALPHA_RATE / 2.0, 1),
        workload("POST", "beta", RATE * plan.beta_rate, 2),
    ]
}

/// Begins and ends of all faults, in order.
fn events(plan: &Plan) -> Vec<(u64, &Fault, bool)> {
    let begins = plan.faults.iter().map(|f| (f.from_ms, f, true));
    let ends = plan.faults.iter().map(|f| (f.until_ms, f, false));
    let mut events: Vec<_> = begins.chain(ends).collect();
    events.sort_by_key(|(at, ..)| *at);
    events
}

/// Begins or ends a fault. Orders to stand-ins replace one another, so that they are made anew from all
/// faults that are active.
async fn apply(
    fleet: &mut Fleet,
    fault: &Fault,
    begins: bool,
    active: &[&Fault],
    quiet: &mut Vec<Quiet>,
) {
    let signal = |fleet: &Fleet, node: usize, name: &str| {
        if let Some(node) = &fleet.nodes[node] {
            node.signal(name);
        }
    };
    match (&fault.kind, begins) {
        (Kind::Freeze(node), true) => signal(fleet, *node, "STOP"),
        (Kind::Freeze(node), false) => signal(fleet, *node, "CONT"),
        (Kind::Kill(node), true) => fleet.kill_node(*node),
        (Kind::Stop(node), true) => signal(fleet, *node, "TERM"),
        (Kind::Kill(node) | Kind::Stop(node), false) => fleet.restart_node(*node),
        (Kind::FreezeTarget(target), true) => fleet.targets[*target].signal("STOP"),
        (Kind::FreezeTarget(target), false) => {
            fleet.targets[*target].signal("CONT");
            order_target(fleet, *target, active).await;
        }
        (Kind::Target(target, _), _) => order_target(fleet, *target, active).await,
        (Kind::Platform(_), _) => {
            let mut order = json!({});
            for fault in active {
                if let Kind::Platform(Value::Object(one)) = &fault.kind {
                    order
                        .as_object_mut()
                        .expect("an object")
                        .extend(one.clone());
                }
            }
            fleet.control_platform(&order).await;
        }
        (Kind::Wire(_), _) => {
            let rules = active.iter().filter_map(|f| match &f.kind {
                Kind::Wire(rule) => Some(rule.clone()),
                _ => None,
            });
            let rules = resolve_rules(fleet, &rules.collect());
            fleet.rules(&rules).await;
        }
        (Kind::Drain(centre), _) => drain(fleet, centre, begins, quiet),
        (Kind::Withdraw, true) => {
            if fleet.operate(&["withdraw", "beta-1"]).status.success() {
                quiet.push(Quiet {
                    why: "beta's key is withdrawn".to_owned(),
                    from_us: after_in_force(),
                    until_us: u64::MAX,
                    organisation: Some("beta"),
                    targets: Vec::new(),
                });
            }
        }
        (Kind::Withdraw, false) => {}
    }
}

/// Tells a target how to behave. One that is suspended is told again when it goes on.
async fn order_target(fleet: &Fleet, target: usize, active: &[&Fault]) {
    let order = active.iter().rev().find_map(|f| match &f.kind {
        Kind::Target(t, order) if *t == target => Some(order.clone()),
        _ => None,
    });
    let order = order.unwrap_or_else(|| json!({}));
    let told = fleet.control_target(target, &order);
    let _ = timeout(ORDER_TAKEN, told).await;
}

fn after_in_force() -> u64 {
    micros() + u64::try_from(IN_FORCE.as_micros()).expect("a few seconds")
}

fn drain(fleet: &Fleet, centre: &'static str, begins: bool, quiet: &mut Vec<Quiet>) {
    if !begins {
        // From here on requests are allowed again, whether or not the operator hears so.
        for one in quiet
            .iter_mut()
            .filter(|q| q.until_us == u64::MAX && q.organisation.is_none())
        {
            one.until_us = micros();
        }
        fleet.operate(&["restore", centre]);
        return;
    }
    if !fleet.operate(&["drain", centre]).status.success() {
        return;
    }
    let targets = (0..fleet.spec.targets.len()).filter(|t| {
        let node = fleet.spec.targets[*t].node;
        fleet.spec.nodes[node] == centre
    });
    quiet.push(Quiet {
        why: format!("{centre} is drained"),
        from_us: after_in_force(),
        until_us: u64::MAX,
        organisation: None,
        targets: targets.map(|t| format!("orders-{t}")).collect(),
    });
}

/// Waits until every node serves orders again, which shows too that none ended by itself.
async fn recovers(fleet: &mut Fleet) -> Vec<String> {
    let mut broken = Vec::new();
    for (i, node) in fleet.nodes.iter_mut().enumerate() {
        if node.as_mut().is_none_or(testenv::Process::ended) {
            broken.push(format!("ended: node {i} is gone"));
        }
    }
    for centre in CENTRES {
        fleet.operate(&["restore", centre]);
    }
    let healed = Instant::now();
    let mut row = 0;
    let mut number = 0;
    while broken.is_empty() && row < SERVED_IN_A_ROW {
        let tag = format!("recovers-{number}");
        let got = fleet.call(number % fleet.nodes.len(), order(&tag)).await;
        row = match got.is_some_and(|g| g.status == 200) {
            true => row + 1,
            false => 0,
        };
        number += 1;
        if healed.elapsed() > RECOVERED {
            broken.push(format!(
                "recovered: {row} orders in a row after {RECOVERED:?}"
            ));
        }
        sleep(Duration::from_millis(50)).await;
    }
    broken
}

fn judge_all(told: &[Told], executions: &[Value], quiet: &[Quiet]) -> Vec<String> {
    let allowance = Allowance {
        rate: RATE,
        burst: f64::from(BURST),
    };
    let allowances = ["alpha", "beta"].map(|o| (o.to_owned(), allowance));
    let mut broken = judge(
        told,
        executions,
        &HashMap::from(allowances),
        &[KEY, OTHER_KEY],
    );
    for quiet in quiet {
        let late = executions.iter().filter(|e| quiet.is_broken_by(e)).count();
        if late > 0 {
            broken.push(format!("late: {late} executions although {}", quiet.why));
        }
    }
    broken
}
