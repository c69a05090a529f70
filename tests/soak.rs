//! Soak test: random overlapping faults against a fleet of real processes, whose results are checked while it
//! runs. See docs/SOAK.md.

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

use checker::{CallRecord, RateLimit, find_violations};
use clap::Parser;
use plan::{Fault, FaultKind, Plan, generate};
use player::{
    Workload, resolve_rules, resume_nodes, run_workload, settled_executions, summarise, unix_micros,
};
use serde_json::{Value, json};
use testenv::{ALPHA_KEY, BETA_KEY, Fleet, config_with, default_spec, order_call};
use tokio::time::{sleep, sleep_until, timeout};

/// Seeds that failed once, each with its cause; every run without `--seed` repeats them.
const REGRESSION_SEEDS: &str = include_str!("soak-seeds.txt");

/// Rate limit of each organisation, in requests a second, and its burst.
const RATE: f64 = 60.0;
const BURST: u32 = 60;

/// Requests a second that alpha sends.
const ALPHA_RATE: f64 = 40.0;

/// How long callers send requests, in seconds; all faults end earlier.
const LOAD_SECONDS: f64 = 18.0;

/// Documented bound from the acceptance of a withdrawal or drain until no request that it forbids starts any
/// more.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Documented bound from the end of all faults until requests are served again.
const RECOVERY_BOUND: Duration = Duration::from_secs(15);

/// Successful orders in a row that count as recovery.
const SERVED_IN_A_ROW: usize = 20;

/// Interval between checks during a round.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Longest wait until the stand-in of a target that isn't suspended accepts settings.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of processes besides the nodes and targets: the platform and the relay.
const SHARED_PROCESSES: usize = 2;

const DATA_CENTRES: [&str; 3] = ["kochi", "thrissur", "kollam"];

/// Runs random faults against a fleet of real processes.
#[derive(Parser)]
struct Args {
    /// Run this seed, and the following ones until the time is over.
    #[arg(long)]
    seed: Option<u64>,
    /// Start no further round after this many minutes.
    #[arg(long, default_value_t = 0.0)]
    minutes: f64,
    /// Number of processes of a fleet.
    #[arg(long, default_value_t = 8)]
    processes: usize,
    /// Skip tests whose name contains this, as in Rust's test harness.
    #[arg(long)]
    skip: Vec<String>,
    /// Run only tests whose name contains this, as in Rust's test harness.
    filter: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let skipped = args.skip.iter().any(|s| "soak".contains(s.as_str()));
    if skipped || args.filter.is_some_and(|f| !"soak".contains(&*f)) {
        return ExitCode::SUCCESS;
    }
    let nodes = (args.processes.saturating_sub(SHARED_PROCESSES) / 2).max(DATA_CENTRES.len());
    let started = Instant::now();
    let limit = Duration::from_secs_f64(args.minutes * 60.0);
    let mut failed = 0;
    let mut rounds = 0;
    let regressions = regression_seeds();
    let first_seed = args.seed.unwrap_or(1);
    let seeds = match args.seed {
        Some(_) => Vec::new(),
        None => regressions,
    };
    for seed in seeds.into_iter().chain(first_seed..) {
        let time_limited = seed >= first_seed && rounds >= usize::from(args.seed.is_none());
        if rounds > 0 && time_limited && started.elapsed() >= limit {
            break;
        }
        rounds += 1;
        failed += usize::from(!run_seed(seed, nodes));
    }
    println!("{} passed, {failed} failed", rounds - failed);
    ExitCode::from(u8::from(failed > 0))
}

/// Returns the seeds in [`REGRESSION_SEEDS`].
fn regression_seeds() -> Vec<u64> {
    let lines = REGRESSION_SEEDS.lines().filter(|l| !l.starts_with('#'));
    lines
        .filter_map(|l| l.split_whitespace().next()?.parse().ok())
        .collect()
}

/// Runs the round of one seed and prints its result; returns whether it passed.
fn run_seed(seed: u64, nodes: usize) -> bool {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    let plan = generate(seed, nodes, &DATA_CENTRES);
    let started = Instant::now();
    let (violations, records) = runtime.block_on(run_round(seed, nodes, &plan));
    let verdict = if violations.is_empty() {
        "ok"
    } else {
        "FAILED"
    };
    let elapsed = started.elapsed().as_secs();
    println!(
        "soak --seed {seed}: {nodes} nodes, {} faults, {} requests, {elapsed} s ... {verdict}",
        plan.faults.len(),
        records.len()
    );
    if violations.is_empty() {
        return true;
    }
    for line in &violations {
        println!("  violation: {line}");
    }
    for fault in &plan.faults {
        println!(
            "  {:>6} to {:>6} ms {:?}",
            fault.from_ms, fault.until_ms, fault.kind
        );
    }
    println!("{}", summarise(&records));
    false
}

/// A span of time in which no request of an organisation, or at some targets, may start.
struct ForbiddenWindow {
    reason: String,
    from_us: u64,
    until_us: u64,
    /// Only this organisation; all if `None`.
    organisation: Option<&'static str>,
    /// Only these targets; all if empty.
    targets: Vec<String>,
}

impl ForbiddenWindow {
    /// Returns whether an execution started in the window.
    fn contains(&self, execution: &Value) -> bool {
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

/// Runs one plan; returns the violations and the records of all calls.
async fn run_round(seed: u64, nodes: usize, plan: &Plan) -> (Vec<String>, Vec<CallRecord>) {
    let mut spec = default_spec(nodes);
    spec.targets.retain(|t| t.service == "orders");
    spec.config = config_with(RATE, BURST, "");
    spec.relay = true;
    let mut fleet = Fleet::start(spec).await;
    let started = Instant::now();
    let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let mut loads = Vec::new();
    for workload in workloads(seed, plan) {
        let addresses = (0..nodes).map(|i| fleet.callers_address(i)).collect();
        loads.push(tokio::spawn(run_workload(
            workload,
            addresses,
            started,
            Arc::clone(&records),
        )));
    }
    let mut windows = Vec::new();
    let mut violations = Vec::new();
    let mut last_check = started;
    let mut active: Vec<&Fault> = Vec::new();
    for (at_ms, fault, starts) in fault_events(plan) {
        sleep_until((started + Duration::from_millis(at_ms)).into()).await;
        match starts {
            true => active.push(fault),
            false => active.retain(|f| !std::ptr::eq(*f, fault)),
        }
        apply_fault(&mut fleet, fault, starts, &active, &mut windows).await;
        // A suspended target doesn't return its execution log.
        let log_missing = active
            .iter()
            .any(|f| matches!(f.kind, FaultKind::FreezeTarget(_)));
        if !log_missing && last_check.elapsed() >= CHECK_INTERVAL {
            last_check = Instant::now();
            let so_far = records.lock().expect("the lock is poisoned").clone();
            violations = check_all(&so_far, &fleet.executions().await, &windows);
            if !violations.is_empty() {
                break;
            }
        }
    }
    if violations.is_empty() {
        violations.extend(check_recovery(&mut fleet).await);
        for load in loads {
            let _ = load.await;
        }
        resume_nodes(&fleet).await;
        let so_far = records.lock().expect("the lock is poisoned").clone();
        violations.extend(check_all(
            &so_far,
            &settled_executions(&fleet).await,
            &windows,
        ));
    }
    let records = records.lock().expect("the lock is poisoned").clone();
    (violations, records)
}

/// Returns orders and reads of alpha within its rate, and orders of beta.
fn workloads(seed: u64, plan: &Plan) -> [Workload; 3] {
    let workload = |method: &str, organisation: &str, rate, number| Workload {
        method: method.to_owned(),
        path: "/orders/new".to_owned(),
        organisation: organisation.to_owned(),
        entries: Vec::new(),
        rate,
        seconds: LOAD_SECONDS,
        seed: 10 * seed + number,
        keep_alive: true,
    };
    [
        workload("POST", "alpha", ALPHA_RATE / 2.0, 0),
        workload("GET", "alpha", ALPHA_RATE / 2.0, 1),
        workload("POST", "beta", RATE * plan.beta_rate, 2),
    ]
}

/// Returns the starts and ends of all faults in order of time: the time in milliseconds, the fault, and
/// whether it starts.
fn fault_events(plan: &Plan) -> Vec<(u64, &Fault, bool)> {
    let starts = plan.faults.iter().map(|f| (f.from_ms, f, true));
    let ends = plan.faults.iter().map(|f| (f.until_ms, f, false));
    let mut events: Vec<_> = starts.chain(ends).collect();
    events.sort_by_key(|(at, ..)| *at);
    events
}

/// Starts or ends a fault. New settings of a stand-in replace the previous ones, so they are built from all
/// active faults.
async fn apply_fault(
    fleet: &mut Fleet,
    fault: &Fault,
    starts: bool,
    active: &[&Fault],
    windows: &mut Vec<ForbiddenWindow>,
) {
    let signal = |fleet: &Fleet, node: usize, name: &str| {
        if let Some(node) = &fleet.nodes[node] {
            node.signal(name);
        }
    };
    match (&fault.kind, starts) {
        (FaultKind::Freeze(node), true) => signal(fleet, *node, "STOP"),
        (FaultKind::Freeze(node), false) => signal(fleet, *node, "CONT"),
        (FaultKind::Kill(node), true) => fleet.kill_node(*node),
        (FaultKind::Terminate(node), true) => signal(fleet, *node, "TERM"),
        (FaultKind::Kill(node) | FaultKind::Terminate(node), false) => fleet.restart_node(*node),
        (FaultKind::FreezeTarget(target), true) => fleet.targets[*target].signal("STOP"),
        (FaultKind::FreezeTarget(target), false) => {
            fleet.targets[*target].signal("CONT");
            control_target(fleet, *target, active).await;
        }
        (FaultKind::Target(target, _), _) => control_target(fleet, *target, active).await,
        (FaultKind::Platform(_), _) => {
            let mut settings = json!({});
            for fault in active {
                if let FaultKind::Platform(Value::Object(fields)) = &fault.kind {
                    settings
                        .as_object_mut()
                        .expect("settings are an object")
                        .extend(fields.clone());
                }
            }
            fleet.control_platform(&settings).await;
        }
        (FaultKind::Relay(_), _) => {
            let rules = active.iter().filter_map(|f| match &f.kind {
                FaultKind::Relay(rule) => Some(rule.clone()),
                _ => None,
            });
            let rules = resolve_rules(fleet, &rules.collect());
            fleet.set_relay_rules(&rules).await;
        }
        (FaultKind::Drain(data_centre), _) => apply_drain(fleet, data_centre, starts, windows),
        (FaultKind::Withdraw, true) => {
            if fleet.run_operator(&["withdraw", "beta-1"]).status.success() {
                windows.push(ForbiddenWindow {
                    reason: "beta's key is withdrawn".to_owned(),
                    from_us: in_force_from_us(),
                    until_us: u64::MAX,
                    organisation: Some("beta"),
                    targets: Vec::new(),
                });
            }
        }
        (FaultKind::Withdraw, false) => {}
    }
}

/// Sends a target the settings of its fault that started last, or none. A suspended target doesn't accept
/// them; they are sent again when it resumes.
async fn control_target(fleet: &Fleet, target: usize, active: &[&Fault]) {
    let settings = active.iter().rev().find_map(|f| match &f.kind {
        FaultKind::Target(t, settings) if *t == target => Some(settings.clone()),
        _ => None,
    });
    let settings = settings.unwrap_or_else(|| json!({}));
    let control = fleet.control_target(target, &settings);
    let _ = timeout(CONTROL_TIMEOUT, control).await;
}

/// Returns the Unix time in microseconds from which a change that is accepted now must be in force.
fn in_force_from_us() -> u64 {
    unix_micros() + u64::try_from(IN_FORCE_BOUND.as_micros()).expect("the bound fits into 64 bits")
}

/// Drains or restores a data centre, and adds or ends the window in which its targets may start nothing.
fn apply_drain(
    fleet: &Fleet,
    data_centre: &'static str,
    starts: bool,
    windows: &mut Vec<ForbiddenWindow>,
) {
    if !starts {
        // From now on requests may start again, even if the restore fails or its answer is lost.
        for window in windows
            .iter_mut()
            .filter(|w| w.until_us == u64::MAX && w.organisation.is_none())
        {
            window.until_us = unix_micros();
        }
        fleet.run_operator(&["restore", data_centre]);
        return;
    }
    if !fleet.run_operator(&["drain", data_centre]).status.success() {
        return;
    }
    let targets = (0..fleet.spec.targets.len()).filter(|t| {
        let node = fleet.spec.targets[*t].node;
        fleet.spec.nodes[node] == data_centre
    });
    windows.push(ForbiddenWindow {
        reason: format!("{data_centre} is drained"),
        from_us: in_force_from_us(),
        until_us: u64::MAX,
        organisation: None,
        targets: targets.map(|t| format!("orders-{t}")).collect(),
    });
}

/// Waits until all nodes serve orders again; a node whose process has exited is a violation.
async fn check_recovery(fleet: &mut Fleet) -> Vec<String> {
    let mut violations = Vec::new();
    for (i, node) in fleet.nodes.iter_mut().enumerate() {
        if node.as_mut().is_none_or(testenv::Process::has_exited) {
            violations.push(format!("ended: the process of node {i} has exited"));
        }
    }
    for data_centre in DATA_CENTRES {
        fleet.run_operator(&["restore", data_centre]);
    }
    let faults_ended = Instant::now();
    let mut successes = 0;
    let mut number = 0;
    while violations.is_empty() && successes < SERVED_IN_A_ROW {
        let tag = format!("recovers-{number}");
        let answer = fleet
            .call(number % fleet.nodes.len(), order_call(&tag))
            .await;
        successes = match answer.is_some_and(|a| a.status == 200) {
            true => successes + 1,
            false => 0,
        };
        number += 1;
        if faults_ended.elapsed() > RECOVERY_BOUND {
            violations.push(format!(
                "recovered: only {successes} successful orders in a row after {RECOVERY_BOUND:?}"
            ));
        }
        sleep(Duration::from_millis(50)).await;
    }
    violations
}

/// Returns all violations in the calls and executions so far.
fn check_all(
    records: &[CallRecord],
    executions: &[Value],
    windows: &[ForbiddenWindow],
) -> Vec<String> {
    let limit = RateLimit {
        rate: RATE,
        burst: f64::from(BURST),
    };
    let limits = ["alpha", "beta"].map(|o| (o.to_owned(), limit));
    let mut violations = find_violations(
        records,
        executions,
        &HashMap::from(limits),
        &[ALPHA_KEY, BETA_KEY],
    );
    for window in windows {
        let late = executions.iter().filter(|e| window.contains(e)).count();
        if late > 0 {
            violations.push(format!(
                "late: {late} executions started although {}",
                window.reason
            ));
        }
    }
    violations
}
