//! Compares the answers that callers received with the executions that targets logged.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

/// One request and the answer that its caller received.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub tag: String,
    pub organisation: String,
    pub idempotent: bool,
    /// HTTP status; zero when no complete answer arrived.
    pub status: u16,
    pub code: String,
    pub outcome: String,
    /// Whether the answer's body was complete and belonged to this request.
    pub body_matches: bool,
    /// Time of sending, in milliseconds after the start of the workloads.
    pub sent_ms: u64,
    /// Time until the answer was complete or failed, in milliseconds.
    pub took_ms: u64,
}

/// Rate limit of an organisation: requests a second, and requests at once.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    pub rate: f64,
    pub burst: f64,
}

/// Returns every violation of the guarantees towards callers, targets and organisations. `limits` are the rate
/// limits by organisation; no header that a target received may contain one of `keys`.
pub fn find_violations(
    records: &[CallRecord],
    executions: &[Value],
    limits: &HashMap<String, RateLimit>,
    keys: &[&str],
) -> Vec<String> {
    let mut violations = Vec::new();
    let by_tag = group_by_tag(executions);
    for record in records {
        check_record(
            record,
            by_tag.get(record.tag.as_str()).map_or(&[], Vec::as_slice),
            &mut violations,
        );
    }
    for execution in executions {
        let text = execution["headers"].to_string();
        if keys.iter().any(|k| text.contains(k)) {
            violations.push(format!(
                "key seen: a target received a key with the request {}",
                execution["tag"]
            ));
        }
    }
    for (organisation, limit) in limits {
        violations.extend(check_rate(organisation, *limit, executions));
    }
    violations
}

fn group_by_tag(executions: &[Value]) -> BTreeMap<&str, Vec<&Value>> {
    let mut by_tag: BTreeMap<&str, Vec<&Value>> = BTreeMap::new();
    for execution in executions {
        let tag = execution["tag"].as_str().unwrap_or("");
        by_tag.entry(tag).or_default().push(execution);
    }
    by_tag
}

fn check_record(record: &CallRecord, executions: &[&Value], violations: &mut Vec<String>) {
    let tag = &record.tag;
    if !record.idempotent && executions.len() > 1 {
        violations.push(format!("double: {tag} ran {} times", executions.len()));
    }
    if record.outcome == "not-run" && !executions.is_empty() {
        violations.push(format!(
            "false refusal: {tag} ran, but its answer with code {} has the outcome not-run",
            record.code
        ));
    }
    if record.status == 200 && (executions.is_empty() || !record.body_matches) {
        violations.push(format!(
            "wrong answer: {tag} has status 200, but did not run or has a wrong body"
        ));
    }
    if executions
        .iter()
        .any(|e| e["organisation"] != *record.organisation)
    {
        violations.push(format!(
            "wrong organisation: {tag} ran for another organisation than its caller's"
        ));
    }
}

/// Tolerance, in seconds, for the delay between the admission of a request and its entry in the target's log.
const LOG_TOLERANCE_SECONDS: f64 = 0.02;

/// Replays the executions of an organisation through a token bucket, and returns a violation for the first that
/// exceeds its rate and burst, if any does.
pub fn check_rate(organisation: &str, limit: RateLimit, executions: &[Value]) -> Option<String> {
    let mut times: Vec<f64> = executions
        .iter()
        .filter(|e| e["organisation"] == *organisation)
        .filter_map(|e| e["at_us"].as_f64())
        .map(|us| us / 1e6)
        .collect();
    times.sort_by(f64::total_cmp);
    let mut level = limit.burst;
    let mut last = times.first().copied()?;
    for at in times {
        level = (level + (at - last) * limit.rate).min(limit.burst);
        last = at;
        level -= 1.0;
        if level < -1.0 - limit.rate * LOG_TOLERANCE_SECONDS {
            return Some(format!(
                "rate: {organisation} exceeds its burst by {:.1} requests",
                -level
            ));
        }
    }
    None
}
