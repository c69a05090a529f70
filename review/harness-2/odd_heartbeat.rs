//! DRAIN: a heartbeat of another writer, without two of the fields, arrives before a backend drains.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    stand_ins::{Fleet, HEARTBEAT, await_true, configuration, send_order, unix_millis},
};

const SERVICE: &str = "catalogue";

/// Bound of a drain, `drain_s`.
const DRAIN: f64 = 2.0;

/// How long the backend serves after its draining was acknowledged.
const SERVES: f64 = 8.0;

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(100);

const LIMIT: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> Verdict {
    let fleet = Fleet::start(
        SERVICE,
        3,
        &configuration(1, SERVICE, ("non_idempotent", 2), 0),
    );
    let work = Duration::from_millis(400);
    let backends: Vec<_> = (0..3)
        .map(|i| fleet.start_backend(i, SERVICE, work))
        .collect();
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let record = &fleet.record;
    let draining = &backends[0];
    let reached = || {
        send_order(record, &fleet.nodes[0], ("/read/a", "warm-up"), LIMIT);
        fleet
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|r| r.backend == draining.id)
    };
    if !await_true(Duration::from_secs(10), reached) {
        return Err("the backend is not used before it drains");
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        let (address, born, seq) = (draining.address, draining.born, unix_millis());
        let beat = format!(
            r#"{{"service":"{SERVICE}","addr":"{address}","slots":7,"state":"ready","cold_left_s":0,"seq":{seq},"born":{born}}}"#
        );
        let status = draining.send_beat(&beat).unwrap_or(0);
        record.write(&format!(
            "another writer's heartbeat, without zone and version, gets {status}: {beat}"
        ));
    }
    draining.stop_beating();
    let acknowledged = draining.send_beat(&draining.next_beat("draining"));
    if !acknowledged.is_ok_and(|status| status / 100 == 2) {
        return Err("the draining was not acknowledged");
    }
    let drained = record.write(&format!(
        "backend {} reports that it is draining, and its node acknowledges it",
        draining.id
    ));
    thread::scope(|scope| {
        let mut next_beat = drained + HEARTBEAT.as_secs_f64();
        for number in 0.. {
            let now = record.now();
            if now >= drained + SERVES {
                break;
            }
            if now >= next_beat {
                let status = draining
                    .send_beat(&draining.next_beat("draining"))
                    .unwrap_or(0);
                record.write(&format!(
                    "backend {} reports again that it is draining, and gets {status}",
                    draining.id
                ));
                next_beat += HEARTBEAT.as_secs_f64();
            }
            let node = &fleet.nodes[number % 3];
            scope.spawn(move || {
                send_order(record, node, ("/read/a", &format!("r-{number}")), LIMIT)
            });
            thread::sleep(INTERVAL);
        }
        let status = draining.send_leave().unwrap_or(0);
        draining.end();
        record.write(&format!(
            "backend {} leaves (DELETE), gets {status}, and ends",
            draining.id
        ));
    });
    let runs = fleet.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.backend == draining.id && r.at > drained + DRAIN)
        .count();
    let elsewhere = runs
        .iter()
        .filter(|r| r.backend != draining.id && r.at > drained)
        .count();
    record.write(&format!("{late} requests reached {} more than {DRAIN} s after its draining was acknowledged; {elsewhere} ran elsewhere", draining.id));
    if elsewhere == 0 {
        return Err("nothing was served elsewhere");
    }
    Ok(late == 0)
}
