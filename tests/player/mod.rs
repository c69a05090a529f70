//! Runs workloads and fault steps against a fleet.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

use crate::{
    checker::CallRecord,
    testenv::{self, ALPHA_KEY, Answer, BETA_KEY, Call, Connection, Fleet},
};

/// Requests of one kind, sent at a rate for a while.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    #[serde(default = "default_method")]
    pub method: String,
    #[serde(default = "default_path")]
    pub path: String,
    #[serde(default = "default_organisation")]
    pub organisation: String,
    /// Indices of the nodes that callers send to; empty for all nodes.
    #[serde(default)]
    pub entries: Vec<usize>,
    /// Requests a second on average.
    pub rate: f64,
    pub seconds: f64,
    pub seed: u64,
    /// Whether callers keep their connections open for many requests.
    #[serde(default, rename = "kept")]
    pub keep_alive: bool,
}

/// An action on the fleet at a time after the start of the workloads.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_ms: u64,
    #[serde(rename = "do")]
    pub action: String,
    #[serde(default)]
    pub node: usize,
    #[serde(default)]
    pub target: usize,
    /// Settings for a stand-in, or rules for the relay.
    #[serde(default, rename = "order")]
    pub payload: Value,
    /// Arguments of the operator's command line.
    #[serde(default)]
    pub args: Vec<String>,
}

fn default_method() -> String {
    "POST".to_owned()
}

fn default_path() -> String {
    "/orders/new".to_owned()
}

fn default_organisation() -> String {
    "alpha".to_owned()
}

/// Returns the microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let now = std::time::SystemTime::now();
    let elapsed = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Sends reads through all nodes, so that the targets warm up.
pub async fn warm_targets(fleet: &Fleet) {
    for i in 0..40 {
        let tag = format!("warm-{i}");
        let call = Call {
            path: "/catalogue/none",
            ..testenv::read_call("/orders/warm", &tag)
        };
        let _ = fleet
            .call(
                i % fleet.nodes.len(),
                Call {
                    path: "/orders/warm",
                    ..call
                },
            )
            .await;
    }
}

/// Resumes suspended nodes and waits half a second, so that they forward the requests that they still hold.
pub async fn resume_nodes(fleet: &Fleet) {
    for node in fleet.nodes.iter().flatten() {
        node.signal("CONT");
    }
    sleep(Duration::from_millis(500)).await;
}

/// Returns all executions once their number has stopped growing.
pub async fn settled_executions(fleet: &Fleet) -> Vec<Value> {
    let mut last = fleet.executions().await;
    loop {
        sleep(Duration::from_millis(300)).await;
        let now = fleet.executions().await;
        if now.len() == last.len() {
            return now;
        }
        last = now;
    }
}

/// Returns the addresses of the nodes that a workload sends to.
pub fn ingress_addresses(fleet: &Fleet, workload: &Workload) -> Vec<String> {
    let all: Vec<usize> = (0..fleet.spec.nodes.len()).collect();
    let nodes = if workload.entries.is_empty() {
        &all
    } else {
        &workload.entries
    };
    nodes.iter().map(|i| fleet.callers_address(*i)).collect()
}

/// Sends requests in an open loop, with exponentially distributed gaps, and records the answer to each.
pub async fn run_workload(
    workload: Workload,
    addresses: Vec<String>,
    started: Instant,
    records: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut rng = StdRng::seed_from_u64(workload.seed);
    let mut elapsed = 0.0;
    let mut number = 0;
    let mut calls = Vec::new();
    let pool = IdleConnections::default();
    while elapsed < workload.seconds {
        sleep_until((started + Duration::from_secs_f64(elapsed)).into()).await;
        let address = addresses[rng.random_range(0..addresses.len())].clone();
        let tag = format!("{}-{number}", workload.seed);
        calls.push(tokio::spawn(send_request(
            workload.clone(),
            address,
            tag,
            started,
            Arc::clone(&records),
            workload.keep_alive.then(|| Arc::clone(&pool)),
        )));
        number += 1;
        let uniform: f64 = rng.random();
        elapsed += -(1.0 - uniform).ln() / workload.rate;
    }
    for call in calls {
        let _ = call.await;
    }
}

/// Sends one request of a workload and records its answer.
pub async fn send_request(
    workload: Workload,
    address: String,
    tag: String,
    started: Instant,
    records: Arc<Mutex<Vec<CallRecord>>>,
    pool: Option<IdleConnections>,
) {
    let key = if workload.organisation == "alpha" {
        ALPHA_KEY
    } else {
        BETA_KEY
    };
    let call = Call {
        method: &workload.method,
        path: &workload.path,
        key: Some(key),
        tag: &tag,
        headers: &[],
        body: if workload.method == "POST" {
            b"two crates of lemons"
        } else {
            b""
        },
    };
    let sent = started.elapsed();
    let answer = match pool {
        Some(pool) => send_keep_alive(&pool, &address, call).await,
        None => testenv::send(&address, call).await,
    };
    let elapsed = started.elapsed().saturating_sub(sent);
    let record = CallRecord {
        organisation: workload.organisation.clone(),
        idempotent: workload.method != "POST",
        status: answer.as_ref().map_or(0, |a| a.status.as_u16()),
        code: answer.as_ref().map_or("", |a| a.code()).to_owned(),
        outcome: answer.as_ref().map_or("", |a| a.outcome()).to_owned(),
        body_matches: answer
            .as_ref()
            .is_some_and(|a| answer_matches(a, &workload.path, &tag)),
        sent_ms: u64::try_from(sent.as_millis()).unwrap_or(u64::MAX),
        took_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        tag,
    };
    if let Ok(mut records) = records.lock() {
        records.push(record);
    }
}

/// Pool of idle connections of callers, by address.
type IdleConnections = Arc<Mutex<HashMap<String, Vec<Connection>>>>;

/// Maximum wait for a connection and the answer on it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a request on an idle connection, or on a new one if the pool has none. Returns the connection to
/// the pool after a complete answer, unless the answer closes it.
async fn send_keep_alive(pool: &IdleConnections, address: &str, call: Call<'_>) -> Option<Answer> {
    let idle = pool.lock().ok()?.get_mut(address).and_then(Vec::pop);
    let round_trip = async {
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::try_open(address).await?,
        };
        Some((connection.call(call).await?, connection))
    };
    let (answer, connection) = tokio::time::timeout(ANSWER_TIMEOUT, round_trip)
        .await
        .ok()??;
    if !answer.closes_connection() {
        let mut pool = pool.lock().ok()?;
        pool.entry(address.to_owned()).or_default().push(connection);
    }
    Some(answer)
}

/// Returns whether an answer's body is complete and belongs to the request: it repeats the tag or, for a download
/// of a given size, holds the targets' byte pattern in that length.
pub fn answer_matches(answer: &Answer, path: &str, tag: &str) -> bool {
    match path.split_once("size=") {
        None => answer.json()["tag"] == *tag,
        Some((_, size)) => {
            let size = size.split('&').next().and_then(|s| s.parse().ok());
            let pattern = answer
                .body
                .iter()
                .enumerate()
                .all(|(i, b)| usize::from(*b) == i % 251);
            pattern && size == Some(answer.body.len())
        }
    }
}

/// Carries out one step.
///
/// # Panics
/// If the step's action is unknown, or the operator's command line fails.
pub async fn run_step(fleet: &mut Fleet, step: &Step) {
    let node = step.node;
    match step.action.as_str() {
        "freeze" => fleet.node(node).signal("STOP"),
        "thaw" => fleet.node(node).signal("CONT"),
        "kill" => fleet.kill_node(node),
        "restart" => fleet.restart_node(node),
        "terminate" => fleet.node(node).signal("TERM"),
        "freeze-target" => fleet.targets[step.target].signal("STOP"),
        "thaw-target" => fleet.targets[step.target].signal("CONT"),
        "target" => fleet.control_target(step.target, &step.payload).await,
        "platform" => fleet.control_platform(&step.payload).await,
        "wire" => {
            let rules = resolve_rules(fleet, &step.payload);
            fleet.set_relay_rules(&rules).await;
        }
        "operate" => {
            let args: Vec<&str> = step.args.iter().map(String::as_str).collect();
            let output = fleet.run_operator(&args);
            assert!(output.status.success(), "{}", testenv::text(&output));
        }
        other => panic!("unknown action of a step: {other}"),
    }
}

/// Replaces node indices in rules of the relay by addresses.
pub fn resolve_rules(fleet: &Fleet, rules: &Value) -> Value {
    let index = |v: &Value| v.as_u64().and_then(|n| usize::try_from(n).ok());
    let rules = rules.as_array().cloned().unwrap_or_default();
    let resolved: Vec<Value> = rules
        .into_iter()
        .map(|mut rule| {
            if let Some(i) = index(&rule["to"]) {
                rule["to"] = json!(fleet.fleet_address(i));
            }
            if let Some(i) = index(&rule["platform_of"]) {
                rule["to"] = json!(fleet.platform_address_for(i));
            }
            if let Some(i) = index(&rule["from"]) {
                rule["from"] = json!(fleet.ip(i));
            }
            if let Some(map) = rule.as_object_mut() {
                map.remove("platform_of");
            }
            rule
        })
        .collect();
    json!(resolved)
}

/// Lists the kinds of answers (status, code and outcome) with their counts and longest durations.
pub fn summarise(records: &[CallRecord]) -> String {
    let mut kinds: HashMap<String, (usize, u64)> = HashMap::new();
    for record in records {
        let kind = format!("{} {} {}", record.status, record.code, record.outcome);
        let entry = kinds.entry(kind).or_default();
        entry.0 += 1;
        entry.1 = entry.1.max(record.took_ms);
    }
    let mut kinds: Vec<_> = kinds.into_iter().collect();
    kinds.sort();
    let lines: Vec<String> = kinds
        .iter()
        .map(|(kind, (count, slowest))| format!("{count:>5} {kind} (slowest {slowest} ms)"))
        .collect();
    lines.join("\n")
}
