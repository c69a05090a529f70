//! Runs every case under tests/faults: sends its workloads to a fleet of real processes, carries out its fault
//! steps, and compares the results with what the case expects.

mod checker;
mod player;
mod testenv;

use std::{
    collections::HashMap,
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use checker::{CallRecord, RateLimit, find_violations};
use player::{
    Step, Workload, ingress_addresses, resume_nodes, run_step, run_workload, settled_executions,
    summarise, unix_micros, warm_targets,
};
use serde::Deserialize;
use serde_json::Value;
use testenv::{ALPHA_KEY, BETA_KEY, Fleet, FleetSpec, config_with, default_spec};
use tokio::time::sleep_until;

/// A case as its file describes it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// What the case checks, for readers of its file.
    #[allow(dead_code)]
    holds: String,
    #[serde(default = "default_nodes")]
    nodes: usize,
    /// Whether naive proxies run in place of nodes, to show that the checker detects their violations.
    #[serde(default)]
    naive: bool,
    #[serde(default = "default_rate")]
    rate: f64,
    #[serde(default = "default_rate")]
    burst: f64,
    #[serde(default)]
    target_args: Vec<String>,
    workloads: Vec<Workload>,
    #[serde(default)]
    steps: Vec<Step>,
    /// Kinds of violations that the checker must find. If any is given, the other expectations are skipped.
    #[serde(default)]
    caught: Vec<String>,
    /// Minimum share of requests that are answered with status 200.
    #[serde(default)]
    success: f64,
    /// Minimum share of successes among the requests that are sent from a time on.
    #[serde(default)]
    recovered: Option<Recovered>,
    /// Number by which a naive proxy divides the rate; the number of nodes by default.
    #[serde(default)]
    naive_nodes: Option<usize>,
    /// An organisation none of whose requests may start after a time.
    #[serde(default)]
    none_after: Option<NoneAfter>,
}

/// Minimum share of successes among the requests that are sent from a time on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovered {
    from_ms: u64,
    success: f64,
}

/// An organisation none of whose requests may start after a time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct NoneAfter {
    organisation: String,
    from_ms: u64,
    /// Restricts the check to the target of this node.
    node: Option<usize>,
}

fn default_nodes() -> usize {
    3
}

fn default_rate() -> f64 {
    1_000.0
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let case: Case =
        jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run_case(case))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn case_spec(case: &Case) -> FleetSpec {
    let mut spec = default_spec(case.nodes);
    spec.targets.retain(|t| t.service == "orders");
    for target in &mut spec.targets {
        target.args = case
            .target_args
            .iter()
            .map(|a| &*a.clone().leak())
            .collect();
    }
    spec.config = config_with(case.rate, case.burst as u32, "");
    spec.relay = !case.naive;
    spec.await_ready = !case.naive;
    spec
}

async fn run_case(case: Case) -> datatest_stable::Result<()> {
    let spec = case_spec(&case);
    let mut fleet = match case.naive {
        true => Fleet::start_naive(spec, case.rate, case.burst, case.naive_nodes).await,
        false => Fleet::start(spec).await,
    };
    // Nodes treat targets as cold at first, whatever their heartbeats announce.
    warm_targets(&fleet).await;
    let started = Instant::now();
    let started_us = unix_micros();
    let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let mut workloads = Vec::new();
    for workload in &case.workloads {
        let addresses = ingress_addresses(&fleet, workload);
        workloads.push(tokio::spawn(run_workload(
            workload.clone(),
            addresses,
            started,
            Arc::clone(&records),
        )));
    }
    for step in &case.steps {
        sleep_until((started + Duration::from_millis(step.at_ms)).into()).await;
        run_step(&mut fleet, step).await;
    }
    for workload in workloads {
        workload.await?;
    }
    resume_nodes(&fleet).await;
    let records = records.lock().map_err(|e| e.to_string())?.clone();
    let executions = settled_executions(&fleet).await;
    let executions: Vec<Value> = executions
        .into_iter()
        .filter(|e| !e["tag"].as_str().unwrap_or("").starts_with("warm"))
        .collect();
    let executions = executions.as_slice();
    let limit = RateLimit {
        rate: case.rate,
        burst: case.burst,
    };
    let limits = HashMap::from([("alpha".to_owned(), limit), ("beta".to_owned(), limit)]);
    let mut violations = find_violations(&records, executions, &limits, &[ALPHA_KEY, BETA_KEY]);
    for kind in &case.caught {
        let found = violations.iter().any(|v| v.starts_with(kind));
        assert!(
            found,
            "the checker found no violation of the kind \"{kind}\": {violations:?}"
        );
    }
    if !case.caught.is_empty() {
        return Ok(());
    }
    violations.extend(check_case(&case, &records, executions, started_us));
    if !violations.is_empty() {
        for node in 0..fleet.nodes.len() {
            eprintln!("node {node}: {:?}", fleet.node_state(node).await);
        }
    }
    assert!(
        violations.is_empty(),
        "{} violations in {} requests: {violations:#?}\n{}",
        violations.len(),
        records.len(),
        summarise(&records)
    );
    println!("{}", summarise(&records));
    Ok(())
}

/// Returns the share of requests that are answered with status 200, and the number of requests.
#[expect(clippy::cast_precision_loss)]
fn success_share<'t>(records: impl Iterator<Item = &'t CallRecord>) -> (f64, usize) {
    let successes: Vec<bool> = records.map(|r| r.status == 200).collect();
    let count = successes.iter().filter(|success| **success).count();
    (
        count as f64 / successes.len().max(1) as f64,
        successes.len(),
    )
}

/// Returns the violations of the expectations that the case states itself.
fn check_case(
    case: &Case,
    records: &[CallRecord],
    executions: &[Value],
    started_us: u64,
) -> Vec<String> {
    let mut violations = Vec::new();
    let (share, count) = success_share(records.iter());
    if count == 0 || share < case.success {
        violations.push(format!(
            "success: {share:.3} of {count} requests, expected at least {}",
            case.success
        ));
    }
    if let Some(recovered) = &case.recovered {
        let (share, count) =
            success_share(records.iter().filter(|r| r.sent_ms >= recovered.from_ms));
        if count == 0 || share < recovered.success {
            violations.push(format!(
                "recovered: {share:.3} of {count} requests, expected at least {}",
                recovered.success
            ));
        }
    }
    if let Some(none_after) = &case.none_after {
        let late = executions.iter().filter(|e| {
            let at = e["at_us"].as_u64().unwrap_or(0);
            e["organisation"] == *none_after.organisation
                && at > started_us + 1_000 * none_after.from_ms
                && none_after
                    .node
                    .is_none_or(|n| e["target"] == format!("orders-{n}"))
        });
        let late = late.count();
        if late > 0 {
            violations.push(format!(
                "late: {late} executions started after {} ms",
                none_after.from_ms
            ));
        }
    }
    violations
}

datatest_stable::harness! {
    { test = run, root = "tests/faults", pattern = r"\.jsonc$" },
}
