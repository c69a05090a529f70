//! BUDGET: nodes are stopped as planned while slow requests run at the backends beside them.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    stand_ins::{Fleet, await_true, configuration, send_request},
};

const SERVICE: &str = "catalogue";

/// `attempts` of the route.
const ATTEMPTS: u32 = 1;

/// Requests that may run on more backends than `attempts` says.
const TOLERATED: usize = 3;

const LIMIT: Duration = Duration::from_secs(25);

pub fn run(trouble: bool) -> Verdict {
    let configuration = configuration(1, SERVICE, ("idempotent", ATTEMPTS), 0);
    let fleet = Fleet::start(SERVICE, 6, &configuration);
    let work = Duration::from_millis(7_500);
    let _backends: Vec<_> = (0..6).map(|i| fleet.start_backend(i, SERVICE, work)).collect();
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let record = fleet.record.clone();
    thread::sleep(Duration::from_secs(5));
    for round in 0..3 {
        let nodes = &fleet.nodes;
        thread::scope(|scope| {
            for i in 0..18 {
                let (record, node) = (&record, &nodes[i % 3]);
                scope.spawn(move || {
                    let id = format!("r-{round}-{i}");
                    send_request(record, node, ("/read/a", &id), LIMIT);
                });
            }
            thread::sleep(Duration::from_millis(500));
            if trouble {
                let node = &nodes[3 + round];
                record.write(&format!("node {} gets SIGTERM", 3 + round));
                node.send_term();
                node.await_end(Duration::from_secs(6));
                record.write(&format!("node {} has stopped, and is started again", 3 + round));
                node.start();
            }
        });
        if !await_true(Duration::from_secs(15), || fleet.nodes.iter().all(|n| n.is_ready())) {
            return Err("the nodes did not become ready again");
        }
        thread::sleep(Duration::from_secs(6));
    }
    let runs = fleet.runs.lock().unwrap();
    let mut reached: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for run in runs.iter() {
        reached.entry(&run.attempt).or_default().insert(&run.backend);
    }
    let beyond = reached.values().filter(|b| b.len() > ATTEMPTS as usize).count();
    record.write(&format!("{beyond} of {} requests ran on more than {ATTEMPTS} backend", reached.len()));
    Ok(beyond <= TOLERATED)
}
