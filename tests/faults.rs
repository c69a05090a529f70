//! The fault matrix: each file under tests/faults is a fault, a workload, and what must hold.

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

use checker::{Allowance, Told, judge};
use player::{Step, Workload, addresses, load, micros, settled, summary, take_step, thaw, warm};
use serde::Deserialize;
use serde_json::Value;
use testenv::{Fleet, KEY, OTHER_KEY, Spec, config_with, spec};
use tokio::time::sleep_until;

/// One case.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// What must hold, in words.
    #[allow(dead_code)]
    holds: String,
    #[serde(default = "three")]
    nodes: usize,
    /// `marjoramdyke`, or `naive` to show that the checker catches it.
    #[serde(default)]
    naive: bool,
    #[serde(default = "thousand")]
    rate: f64,
    #[serde(default = "thousand")]
    burst: f64,
    #[serde(default)]
    target_args: Vec<String>,
    workloads: Vec<Workload>,
    #[serde(default)]
    steps: Vec<Step>,
    /// Kinds of broken promises that a naive proxy is caught with.
    #[serde(default)]
    caught: Vec<String>,
    /// Least share of requests that get a target's answer.
    #[serde(default)]
    success: f64,
    /// Least share of answers from this many milliseconds on.
    #[serde(default)]
    recovered: Option<Recovered>,
    /// Nodes that a naive proxy divides the rate by.
    #[serde(default)]
    naive_nodes: Option<usize>,
    /// Executions of an organisation after this time must not be seen.
    #[serde(default)]
    none_after: Option<NoneAfter>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovered {
    from_ms: u64,
    success: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct NoneAfter {
    organisation: String,
    from_ms: u64,
    /// Only at targets of this node.
    node: Option<usize>,
}

fn three() -> usize {
    3
}

fn thousand() -> f64 {
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
    runtime.block_on(play(case))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn fleet_spec(case: &Case) -> Spec {
    let mut wanted = spec(case.nodes);
    wanted.targets.retain(|t| t.service == "orders");
    for target in &mut wanted.targets {
        target.args = case
            .target_args
            .iter()
            .map(|a| &*a.clone().leak())
            .collect();
    }
    wanted.config = config_with(case.rate, case.burst as u32, "");
    wanted.wire = !case.naive;
    wanted.ready = !case.naive;
    wanted
}

async fn play(case: Case) -> datatest_stable::Result<()> {
    let wanted = fleet_spec(&case);
    let mut fleet = match case.naive {
        true => Fleet::start_naive(wanted, case.rate, case.burst, case.naive_nodes).await,
        false => Fleet::start(wanted).await,
    };
    // The nodes' targets come in cold, whatever they say.
    warm(&fleet).await;
    let begun = Instant::now();
    let begun_us = micros();
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let mut loads = Vec::new();
    for workload in &case.workloads {
        let addresses = addresses(&fleet, workload);
        loads.push(tokio::spawn(load(
            workload.clone(),
            addresses,
            begun,
            Arc::clone(&told),
        )));
    }
    for step in &case.steps {
        sleep_until((begun + Duration::from_millis(step.at_ms)).into()).await;
        take_step(&mut fleet, step).await;
    }
    for load in loads {
        load.await?;
    }
    thaw(&fleet).await;
    let told = told.lock().map_err(|e| e.to_string())?.clone();
    let executions = settled(&fleet).await;
    let executions: Vec<Value> = executions
        .into_iter()
        .filter(|e| !e["tag"].as_str().unwrap_or("").starts_with("warm"))
        .collect();
    let executions = executions.as_slice();
    let allowance = Allowance {
        rate: case.rate,
        burst: case.burst,
    };
    let allowances = HashMap::from([
        ("alpha".to_owned(), allowance),
        ("beta".to_owned(), allowance),
    ]);
    let mut broken = judge(&told, executions, &allowances, &[KEY, OTHER_KEY]);
    for kind in &case.caught {
        let seen = broken.iter().any(|b| b.starts_with(kind));
        assert!(seen, "the checker did not catch \"{kind}\": {broken:?}");
    }
    if !case.caught.is_empty() {
        return Ok(());
    }
    broken.extend(judge_case(&case, &told, executions, begun_us));
    if !broken.is_empty() {
        for node in 0..fleet.nodes.len() {
            eprintln!("node {node}: {:?}", fleet.state(node).await);
        }
    }
    assert!(
        broken.is_empty(),
        "{} broken of {}: {broken:#?}\n{}",
        broken.len(),
        told.len(),
        summary(&told)
    );
    println!("{}", summary(&told));
    Ok(())
}

#[expect(clippy::cast_precision_loss)]
fn share<'t>(told: impl Iterator<Item = &'t Told>) -> (f64, usize) {
    let all: Vec<bool> = told.map(|t| t.status == 200).collect();
    let good = all.iter().filter(|g| **g).count();
    (good as f64 / all.len().max(1) as f64, all.len())
}

fn judge_case(case: &Case, told: &[Told], executions: &[Value], begun_us: u64) -> Vec<String> {
    let mut broken = Vec::new();
    let (all, count) = share(told.iter());
    if count == 0 || all < case.success {
        broken.push(format!(
            "success: {all:.3} of {count}, wanted {}",
            case.success
        ));
    }
    if let Some(recovered) = &case.recovered {
        let (later, count) = share(told.iter().filter(|t| t.sent_ms >= recovered.from_ms));
        if count == 0 || later < recovered.success {
            broken.push(format!(
                "recovered: {later:.3} of {count}, wanted {}",
                recovered.success
            ));
        }
    }
    if let Some(none) = &case.none_after {
        let late = executions.iter().filter(|e| {
            let at = e["at_us"].as_u64().unwrap_or(0);
            e["organisation"] == *none.organisation
                && at > begun_us + 1_000 * none.from_ms
                && none
                    .node
                    .is_none_or(|n| e["target"] == format!("orders-{n}"))
        });
        let late = late.count();
        if late > 0 {
            broken.push(format!("late: {late} executions after {} ms", none.from_ms));
        }
    }
    broken
}

datatest_stable::harness! {
    { test = run, root = "tests/faults", pattern = r"\.jsonc$" },
}
