//! LOST: two nodes are stopped as planned, one 1.3 s after the other, while all backends are busy.
//!
//! Counted are reads that got an answer of the fleet's own, were sent before both stops, and had their run broken off before
//! the last sixth of the grace of the node that took them. Reads that a backend still ran then are excused.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    stand_ins::{Fleet, await_true, configuration, send_request},
};

const SERVICE: &str = "assets";

/// When the last sixth of the grace of 6 s begins, in seconds after SIGTERM.
const LAST_SIXTH: f64 = 5.0;

/// Time between the two stops, `gap_s` of the sheet's `roll_term`.
const GAP: Duration = Duration::from_millis(1_300);

/// The node beside the backend, and the node that takes the requests.
const EGRESS: usize = 0;
const INGRESS: usize = 3;

/// Requests that run at the backend of the first node.
const READS: usize = 8;

/// Requests of other clients at each of the other nodes, which keep the other backends busy.
const OTHERS: usize = 12;

const LIMIT: Duration = Duration::from_secs(15);

pub fn run(trouble: bool) -> Verdict {
    let fleet = Fleet::start(SERVICE, 6, &configuration(1, SERVICE, ("status", 2), 0));
    let backends: Vec<_> = (0..6)
        .map(|i| fleet.start_backend(i, SERVICE, Duration::from_millis(30)))
        .collect();
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let (record, nodes) = (&fleet.record, &fleet.nodes);
    let reached = || send_request(record, &nodes[0], ("/read/a", "warm-up"), LIMIT) == 200;
    if !await_true(Duration::from_secs(10), reached) {
        return Err("requests are not served");
    }
    // The nodes learn that the backends respond, and that they are warm.
    for number in 0..240 {
        thread::scope(|scope| {
            for node in nodes {
                let id = format!("w-{number}");
                scope.spawn(move || send_request(record, node, ("/read/a", &id), LIMIT));
            }
        });
        thread::sleep(Duration::from_millis(10));
    }
    backends
        .iter()
        .for_each(|b| b.set_work(Duration::from_secs(11)));
    let failed: Mutex<Vec<String>> = Mutex::default();
    let answered = AtomicUsize::new(0);
    let mut stopped_at = f64::INFINITY;
    thread::scope(|scope| {
        for i in (0..6).filter(|i| *i != EGRESS && *i != INGRESS) {
            for number in 0..OTHERS {
                let id = format!("o-{i}-{number}");
                scope.spawn(move || send_request(record, &nodes[i], ("/read/other", &id), LIMIT));
            }
        }
        for number in 0..OTHERS {
            let id = format!("o-{INGRESS}-{number}");
            scope.spawn(move || send_request(record, &nodes[5], ("/read/other", &id), LIMIT));
        }
        thread::sleep(Duration::from_millis(1_000));
        for number in 0..READS {
            let (failed, answered) = (&failed, &answered);
            scope.spawn(move || {
                let id = format!("r-{number}");
                match send_request(record, &nodes[INGRESS], ("/read/status", &id), LIMIT) {
                    200 => drop(answered.fetch_add(1, SeqCst)),
                    _ => failed.lock().unwrap().push(id),
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        if !trouble {
            return;
        }
        record.write(&format!("node {EGRESS} gets SIGTERM"));
        nodes[EGRESS].send_term();
        thread::sleep(GAP);
        stopped_at = record.write(&format!("node {INGRESS} gets SIGTERM"));
        nodes[INGRESS].send_term();
        for stopped in [EGRESS, INGRESS] {
            nodes[stopped].await_end(Duration::from_secs(6));
            record.write(&format!("node {stopped} has ended, and is started again"));
            nodes[stopped].start();
        }
    });
    let answered = answered.into_inner();
    let failed = failed.into_inner().unwrap();
    let drops = fleet.drops.lock().unwrap();
    let broken_off = |id: &&String| {
        let mut dropped = drops.iter().filter(|d| d.attempt == **id);
        let in_last_sixth = |at: f64| at >= stopped_at + LAST_SIXTH;
        dropped.clone().next().is_some() && !dropped.any(|d| in_last_sixth(d.at))
    };
    let counted = failed.iter().filter(broken_off).count();
    record.write(&format!("{answered} of {READS} reads were answered by a backend; {} got an answer of the fleet's own, {counted} of which a backend had run until it was broken off, before the last sixth of the grace", failed.len()));
    if answered + failed.len() != READS {
        return Err("a read was not counted");
    }
    Ok(counted == 0)
}
