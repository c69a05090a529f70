//! Tests changes of the configuration by the operator's command line, with a fleet of real processes.

mod testenv;

use std::time::Duration;

use testenv::{Call, Fleet, config, default_spec, order_call, text, wait_until};
use tokio::time::sleep;

/// Documented bound within which a change is in force at all nodes of a fleet of this size.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Returns the generation that the command line printed as applied.
fn applied_generation(output: &std::process::Output) -> Option<u64> {
    let text = text(output);
    let rest = text.split("applied as generation ").nth(1)?;
    rest.split_whitespace().next()?.parse().ok()
}

/// Returns the generation that each node holds; 0 for one that doesn't answer.
async fn held_generations(fleet: &Fleet) -> Vec<u64> {
    let mut out = Vec::new();
    for i in 0..fleet.nodes.len() {
        let state = fleet.node_state(i).await;
        out.push(state.and_then(|s| s["generation"].as_u64()).unwrap_or(0));
    }
    out
}

#[tokio::test]
async fn all_nodes_hold_change_within_bound_and_status_reports_in_force() {
    let fleet = Fleet::start(default_spec(3)).await;
    let output = fleet.apply(&config(500.0, 500));
    let applied = applied_generation(&output).expect("no generation was printed as applied");
    sleep(IN_FORCE_BOUND).await;
    assert_eq!(held_generations(&fleet).await, [applied; 3]);
    let status = fleet.run_operator(&["status", "--wait"]);
    assert!(status.status.success(), "{}", text(&status));
    assert!(text(&status).contains("is in force"), "{}", text(&status));
}

#[tokio::test]
async fn concurrent_operator_that_loses_applies_nothing() {
    let fleet = Fleet::start(default_spec(3)).await;
    let before = held_generations(&fleet).await[0];
    let drain = |name: &'static str| {
        let fleet = &fleet;
        move || fleet.run_operator(&["drain", name])
    };
    let (a, b) = std::thread::scope(|scope| {
        let a = scope.spawn(drain("kochi"));
        let b = scope.spawn(drain("kollam"));
        (
            a.join().expect("the first operator panicked"),
            b.join().expect("the second operator panicked"),
        )
    });
    let wins = [&a, &b].into_iter().filter(|o| o.status.success()).count() as u64;
    assert!(wins >= 1, "{} {}", text(&a), text(&b));
    for loser in [&a, &b].into_iter().filter(|o| !o.status.success()) {
        assert!(
            text(loser).contains("nothing was applied"),
            "{}",
            text(loser)
        );
        assert_eq!(loser.status.code(), Some(1));
    }
    wait_until("the generations of all applied changes", || async {
        held_generations(&fleet).await == [before + wins; 3]
    })
    .await;
}

#[tokio::test]
async fn operator_confirms_change_by_reading_back_after_lost_answer() {
    let fleet = Fleet::start(default_spec(3)).await;
    let before = held_generations(&fleet).await[0];
    fleet
        .control_platform(&serde_json::json!({ "lose_answers": 1 }))
        .await;
    let output = fleet.run_operator(&["drain", "kochi"]);
    let applied = applied_generation(&output);
    assert_eq!(applied, Some(before + 1), "{}", text(&output));
}

#[tokio::test]
async fn platform_outage_refuses_changes_and_keeps_generation_across_restart() {
    let mut fleet = Fleet::start(default_spec(3)).await;
    let before = held_generations(&fleet).await;
    fleet
        .control_platform(&serde_json::json!({ "down": true }))
        .await;
    let output = fleet.run_operator(&["drain", "kochi"]);
    assert!(!output.status.success(), "{}", text(&output));
    assert!(applied_generation(&output).is_none());
    // A node that starts now loads the configuration from its peers, and serves.
    fleet.restart_node(1);
    fleet.wait_listening(1).await;
    assert_eq!(held_generations(&fleet).await, before);
    let answer = fleet
        .call(1, order_call("after"))
        .await
        .expect("no complete answer arrived");
    let mut states = Vec::new();
    for i in 0..3 {
        states.push(fleet.node_state(i).await);
    }
    assert_eq!(answer.status, 200, "{answer:?} {states:#?}");
}

#[tokio::test]
async fn status_reports_not_in_force_while_no_quorum_holds_change() {
    let mut spec = default_spec(3);
    spec.relay = true;
    let fleet = Fleet::start(spec).await;
    // Nodes 1 and 2 lose the connections to the platform and to node 0, so only node 0 can read the change.
    let cut_to = |to: String| serde_json::json!({ "to": to, "cut_forth": true, "cut_back": true });
    let cut_from =
        |ip: String| serde_json::json!({ "from": ip, "cut_forth": true, "cut_back": true });
    fleet
        .set_relay_rules(&serde_json::json!([
            cut_to(fleet.platform_address_for(1)),
            cut_to(fleet.platform_address_for(2)),
            cut_to(fleet.fleet_address(0)),
            cut_from(fleet.ip(0)),
        ]))
        .await;
    let output = fleet.run_operator(&["withdraw", "alpha-1"]);
    assert!(output.status.success(), "{}", text(&output));
    let node = format!("{}:7000", fleet.ip(0));
    let status = fleet.run_operator_at(&node, &["status", "--wait", "--wait-limit", "8"]);
    assert_eq!(status.status.code(), Some(3), "{}", text(&status));
    assert!(text(&status).contains("not known to be in force"));
    for node in [1, 2] {
        let listed = text(&status)
            .lines()
            .any(|l| l.contains(&fleet.fleet_address(node)) && l.contains("last known"));
        assert!(listed, "{}", text(&status));
    }
}

#[tokio::test]
async fn granted_key_is_accepted_and_withdrawn_key_cannot_be_applied_again() {
    let fleet = Fleet::start(default_spec(3)).await;
    let output = fleet.run_operator(&["grant", "beta", "--wait"]);
    assert!(output.status.success(), "{}", text(&output));
    let printed = text(&output);
    let key = printed
        .split_whitespace()
        .find(|w| w.starts_with("mjd_"))
        .expect("no key was printed")
        .to_owned();
    let call = Call {
        key: Some(&key),
        ..order_call("granted")
    };
    let answer = fleet
        .call(2, call)
        .await
        .expect("no complete answer arrived");
    assert_eq!(answer.status, 200, "{answer:?}");
    let output = fleet.run_operator(&["withdraw", "alpha-1", "--wait"]);
    assert!(output.status.success(), "{}", text(&output));
    assert_eq!(
        fleet
            .call(0, order_call("withdrawn"))
            .await
            .expect("no complete answer arrived")
            .status,
        401
    );
    // The previous file still lists the key; applying it must fail and leave the key withdrawn.
    let output = fleet.apply(&config(1_000.0, 1_000));
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("was withdrawn"), "{}", text(&output));
}

#[tokio::test]
async fn withdrawn_key_is_refused_on_open_http1_connection() {
    let fleet = Fleet::start(default_spec(3)).await;
    let mut connection = testenv::Connection::open(&fleet.callers_address(0)).await;
    assert_eq!(
        connection
            .call(order_call("before"))
            .await
            .expect("no complete answer arrived")
            .status,
        200
    );
    let output = fleet.run_operator(&["withdraw", "alpha-1"]);
    assert!(output.status.success(), "{}", text(&output));
    sleep(IN_FORCE_BOUND).await;
    let answer = connection
        .call(order_call("after"))
        .await
        .expect("no complete answer arrived");
    assert_eq!((answer.status.as_u16(), answer.code()), (401, "wrong-key"));
    assert_eq!(fleet.executions_by_tag().await.get("after"), None);
}
