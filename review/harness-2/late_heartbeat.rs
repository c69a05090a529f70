//! DRAIN: all processes are killed after a backend's leaving was acknowledged, and a heartbeat that the backend had sent
//! before arrives late.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    stand_ins::{Fleet, Node, await_true, configuration, send_order},
};

const SERVICE: &str = "catalogue";

/// Bounds of the deployment: `drain_s` and `contact_s`.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;

/// How late the heartbeat arrives.
const LATE: f64 = 3.0;

/// How long the backend serves after its leaving was acknowledged.
const SERVES: f64 = 10.0;

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(100);

const LIMIT: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> Verdict {
    let fleet = Fleet::start(
        SERVICE,
        6,
        &configuration(1, SERVICE, ("non_idempotent", 2), 0),
    );
    let work = Duration::from_millis(400);
    let backends: Vec<_> = (0..6)
        .map(|i| fleet.start_backend(i, SERVICE, work))
        .collect();
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let record = fleet.record.clone();
    let leaving = &backends[0];
    let reached = || {
        send_order(&record, &fleet.nodes[0], ("/read/a", "warm-up"), LIMIT);
        fleet
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|r| r.backend == leaving.id)
    };
    if !await_true(Duration::from_secs(10), reached) {
        return Err("the backend is not used before it leaves");
    }
    leaving.stop_beating();
    let beat = leaving.next_beat("ready");
    let sent = record.write(&format!(
        "backend {} sends a heartbeat, which is delayed: {beat}",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(300));
    let acknowledged = leaving.send_leave();
    if acknowledged.ok() != Some(200) {
        return Err("the leaving was not acknowledged");
    }
    let left = record.write(&format!(
        "backend {} leaves (DELETE), and its node acknowledges it",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(500));
    let mut killed = left;
    if trouble {
        killed = record.write("all node processes are killed");
        fleet.nodes.iter().for_each(Node::kill);
        thread::sleep(Duration::from_millis(500));
        fleet.nodes.iter().for_each(Node::start);
        killed = killed.max(record.write("all node processes are started again"));
    }
    thread::scope(|scope| {
        let mut delivered = false;
        for number in 0.. {
            let now = record.now();
            if now >= left + SERVES {
                break;
            }
            if !delivered && now >= sent + LATE {
                delivered = true;
                let status = leaving.send_beat(&beat).unwrap_or(0);
                record.write(&format!(
                    "the delayed heartbeat arrives at the node, which answers {status}"
                ));
            }
            let (record, node) = (&record, &fleet.nodes[number % 6]);
            scope.spawn(move || {
                if node.is_ready() {
                    send_order(record, node, ("/read/a", &format!("r-{number}")), LIMIT);
                }
            });
            thread::sleep(INTERVAL);
        }
        leaving.end();
        record.write(&format!("backend {} ends", leaving.id));
    });
    let bound = (left + DRAIN).max(if trouble { killed + CONTACT } else { left });
    let runs = fleet.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.backend == leaving.id && r.at > bound)
        .count();
    let elsewhere = runs
        .iter()
        .filter(|r| r.backend != leaving.id && r.at > bound)
        .count();
    record.write(&format!("{late} requests ran at {} more than {DRAIN} s after its leaving was acknowledged, by machines that ran for {CONTACT} s; {elsewhere} ran elsewhere", leaving.id));
    if elsewhere == 0 {
        return Err("nothing was served elsewhere");
    }
    Ok(late == 0)
}
