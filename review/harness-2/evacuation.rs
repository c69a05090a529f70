//! EVAC: a zone is evacuated after the configuration has grown beyond one page of the store.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    stand_ins::{Fleet, await_true, configuration, send_request},
};

const SERVICE: &str = "catalogue";

/// Bound of an evacuation, `evacuate_s`.
const EVACUATE: f64 = 5.0;

/// Routes by which the configuration grows, to a little over 1 MB.
const GROWTH: usize = 5_400;

const LIMIT: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> Verdict {
    let fleet = Fleet::start(SERVICE, 3, &configuration(1, SERVICE, ("idempotent", 2), 0));
    let work = Duration::from_millis(20);
    let backends: Vec<_> = (0..3)
        .map(|i| fleet.start_backend(i, SERVICE, work))
        .collect();
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let record = &fleet.record;
    let reached =
        |i: usize| send_request(record, &fleet.nodes[i], ("/read/a", "warm-up"), LIMIT) == 200;
    if !await_true(Duration::from_secs(10), || (0..3).all(reached)) {
        return Err("requests are not served");
    }
    let (grown, last) = match trouble {
        true => (
            configuration(2, SERVICE, ("idempotent", 2), GROWTH),
            format!("/x{}/a", GROWTH - 1),
        ),
        false => (
            configuration(2, SERVICE, ("idempotent", 2), 50),
            "/x49/a".to_owned(),
        ),
    };
    record.write(&format!(
        "operator writes a configuration of {} bytes",
        grown.len()
    ));
    fleet.store.put("op", "config", &grown);
    let installed =
        |i: usize| send_request(record, &fleet.nodes[i], (&last, "new-route"), LIMIT) == 200;
    if !await_true(Duration::from_secs(15), || (0..3).all(installed)) {
        return Err("the grown configuration is not in force");
    }
    thread::sleep(Duration::from_secs(3));
    fleet.store.put("op", "evacuate/kochi-a", "{}");
    let evacuated = record.write("operator evacuates kochi-a; the store has acknowledged it");
    for number in 0..100 {
        let node = &fleet.nodes[number % 3];
        send_request(record, node, ("/read/a", &format!("r-{number}")), LIMIT);
        thread::sleep(Duration::from_millis(100));
    }
    let runs = fleet.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.backend == backends[0].id && r.at > evacuated + EVACUATE);
    let late = late.count();
    let elsewhere = runs
        .iter()
        .filter(|r| r.backend != backends[0].id && r.at > evacuated)
        .count();
    record.write(&format!("{late} requests ran in kochi-a more than {EVACUATE} s after its evacuation; {elsewhere} ran elsewhere"));
    if elsewhere == 0 {
        return Err("nothing was served elsewhere");
    }
    Ok(late == 0)
}
