//! Plays workloads and faults against a fleet.

#![allow(dead_code, reason = "each test file uses its own part")]

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
    checker::Told,
    testenv::{self, Call, Connection, Fleet, Got, KEY, OTHER_KEY},
};

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    #[serde(default = "post")]
    pub method: String,
    #[serde(default = "orders")]
    pub path: String,
    #[serde(default = "alpha")]
    pub organisation: String,
    /// Nodes that callers use; all when empty.
    #[serde(default)]
    pub entries: Vec<usize>,
    pub rate: f64,
    pub seconds: f64,
    pub seed: u64,
    /// Whether callers keep their connections open for many requests.
    #[serde(default)]
    pub kept: bool,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_ms: u64,
    #[serde(rename = "do")]
    pub what: String,
    #[serde(default)]
    pub node: usize,
    #[serde(default)]
    pub target: usize,
    #[serde(default)]
    pub order: Value,
    #[serde(default)]
    pub args: Vec<String>,
}

pub fn post() -> String {
    "POST".to_owned()
}

pub fn orders() -> String {
    "/orders/new".to_owned()
}

pub fn alpha() -> String {
    "alpha".to_owned()
}

pub fn micros() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

pub async fn warm(fleet: &Fleet) {
    for i in 0..40 {
        let tag = format!("warm-{i}");
        let call = Call {
            path: "/catalogue/none",
            ..testenv::read("/orders/warm", &tag)
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

/// Lets frozen processes go on, so that what they hold comes to light.
pub async fn thaw(fleet: &Fleet) {
    for node in fleet.nodes.iter().flatten() {
        node.signal("CONT");
    }
    sleep(Duration::from_millis(500)).await;
}

/// Reads executions until no more come.
pub async fn settled(fleet: &Fleet) -> Vec<Value> {
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

pub fn addresses(fleet: &Fleet, workload: &Workload) -> Vec<String> {
    let all: Vec<usize> = (0..fleet.spec.nodes.len()).collect();
    let entries = if workload.entries.is_empty() {
        &all
    } else {
        &workload.entries
    };
    entries.iter().map(|i| fleet.callers(*i)).collect()
}

/// Sends requests in an open loop and notes what each caller was told.
pub async fn load(
    workload: Workload,
    addresses: Vec<String>,
    begun: Instant,
    told: Arc<Mutex<Vec<Told>>>,
) {
    let mut rng = StdRng::seed_from_u64(workload.seed);
    let mut at = 0.0;
    let mut number = 0;
    let mut calls = Vec::new();
    let kept = Kept::default();
    while at < workload.seconds {
        sleep_until((begun + Duration::from_secs_f64(at)).into()).await;
        let address = addresses[rng.random_range(0..addresses.len())].clone();
        let tag = format!("{}-{number}", workload.seed);
        calls.push(tokio::spawn(one(
            workload.clone(),
            address,
            tag,
            begun,
            Arc::clone(&told),
            workload.kept.then(|| Arc::clone(&kept)),
        )));
        number += 1;
        let gap: f64 = rng.random();
        at += -(1.0 - gap).ln() / workload.rate;
    }
    for call in calls {
        let _ = call.await;
    }
}

pub async fn one(
    workload: Workload,
    address: String,
    tag: String,
    begun: Instant,
    told: Arc<Mutex<Vec<Told>>>,
    kept: Option<Kept>,
) {
    let key = if workload.organisation == "alpha" {
        KEY
    } else {
        OTHER_KEY
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
    let sent = begun.elapsed();
    let got = match kept {
        Some(kept) => send_kept(&kept, &address, call).await,
        None => testenv::send(&address, call).await,
    };
    let took = begun.elapsed().saturating_sub(sent);
    let one = Told {
        organisation: workload.organisation.clone(),
        idempotent: workload.method != "POST",
        status: got.as_ref().map_or(0, |g| g.status.as_u16()),
        code: got.as_ref().map_or("", |g| g.code()).to_owned(),
        outcome: got.as_ref().map_or("", |g| g.outcome()).to_owned(),
        own: got
            .as_ref()
            .is_some_and(|g| is_own(g, &workload.path, &tag)),
        sent_ms: u64::try_from(sent.as_millis()).unwrap_or(u64::MAX),
        took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        tag,
    };
    if let Ok(mut told) = told.lock() {
        told.push(one);
    }
}

/// Idle connections of callers, by address.
type Kept = Arc<Mutex<HashMap<String, Vec<Connection>>>>;

/// Longest wait for an answer on a kept connection.
const ANSWER_WITHIN: Duration = Duration::from_secs(30);

/// Sends a request on an idle connection, or a new one where there is none, and keeps it if it works.
async fn send_kept(kept: &Kept, address: &str, call: Call<'_>) -> Option<Got> {
    let idle = kept.lock().ok()?.get_mut(address).and_then(Vec::pop);
    let talk = async {
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::try_open(address).await?,
        };
        Some((connection.call(call).await?, connection))
    };
    let (got, connection) = tokio::time::timeout(ANSWER_WITHIN, talk).await.ok()??;
    if !got.closes() {
        let mut kept = kept.lock().ok()?;
        kept.entry(address.to_owned()).or_default().push(connection);
    }
    Some(got)
}

/// Tells whether an answer is whole and belongs to the request.
pub fn is_own(got: &Got, path: &str, tag: &str) -> bool {
    match path.split_once("size=") {
        None => got.json()["tag"] == *tag,
        Some((_, size)) => {
            let size = size.split('&').next().and_then(|s| s.parse().ok());
            let pattern = got
                .body
                .iter()
                .enumerate()
                .all(|(i, b)| usize::from(*b) == i % 251);
            pattern && size == Some(got.body.len())
        }
    }
}

pub async fn take_step(fleet: &mut Fleet, step: &Step) {
    let i = step.node;
    match step.what.as_str() {
        "freeze" => fleet.node(i).signal("STOP"),
        "thaw" => fleet.node(i).signal("CONT"),
        "kill" => fleet.kill_node(i),
        "restart" => fleet.restart_node(i),
        "terminate" => fleet.node(i).signal("TERM"),
        "freeze-target" => fleet.targets[step.target].signal("STOP"),
        "thaw-target" => fleet.targets[step.target].signal("CONT"),
        "target" => fleet.control_target(step.target, &step.order).await,
        "platform" => fleet.control_platform(&step.order).await,
        "wire" => {
            let rules = resolve_rules(fleet, &step.order);
            fleet.rules(&rules).await;
        }
        "operate" => {
            let args: Vec<&str> = step.args.iter().map(String::as_str).collect();
            let output = fleet.operate(&args);
            assert!(output.status.success(), "{}", testenv::text(&output));
        }
        other => panic!("no step is called {other}"),
    }
}

/// Replaces node numbers in rules by addresses.
pub fn resolve_rules(fleet: &Fleet, rules: &Value) -> Value {
    let number = |v: &Value| v.as_u64().and_then(|n| usize::try_from(n).ok());
    let rules = rules.as_array().cloned().unwrap_or_default();
    let resolved: Vec<Value> = rules
        .into_iter()
        .map(|mut rule| {
            if let Some(i) = number(&rule["to"]) {
                rule["to"] = json!(fleet.fleet_address(i));
            }
            if let Some(i) = number(&rule["platform_of"]) {
                rule["to"] = json!(fleet.platform_of(i));
            }
            if let Some(i) = number(&rule["from"]) {
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

pub fn summary(told: &[Told]) -> String {
    let mut kinds: HashMap<String, (usize, u64)> = HashMap::new();
    for one in told {
        let kind = format!("{} {} {}", one.status, one.code, one.outcome);
        let entry = kinds.entry(kind).or_default();
        entry.0 += 1;
        entry.1 = entry.1.max(one.took_ms);
    }
    let mut kinds: Vec<_> = kinds.into_iter().collect();
    kinds.sort();
    let lines: Vec<String> = kinds
        .iter()
        .map(|(kind, (count, slowest))| format!("{count:>5} {kind} (slowest {slowest} ms)"))
        .collect();
    lines.join("\n")
}
