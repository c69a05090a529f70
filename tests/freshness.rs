//! Simulation of freshness, with the real [`Freshness`] at each node. Messages are delayed, reordered
//! and lost in one direction; nodes pause, restart and join; some or all nodes can't reach the store.
//!
//! Guards against a node that starts work under an outdated configuration: once one node counts a
//! generation as in force, no node that holds an older one may be fresh, at that time or later. A
//! fenced owner of a slice, which would hold an older generation, therefore admits nothing.

#![expect(
    clippy::cast_possible_truncation,
    reason = "simulated generations are small"
)]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use marjoramdyke::{
    config::Document,
    policy::{
        fresh::{FRESH_FOR, Freshness, FreshnessReport},
        roster::change_roster,
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

/// How often a node requests the report of a random other node.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// How often a node reads the head from the store.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    /// Number of nodes whose VM is in the first roster.
    nodes: usize,
    /// Number of further nodes.
    unrostered: usize,
    seconds: u64,
    /// Mean number of events of each kind a second.
    changes: f64,
    cuts: f64,
    restarts: f64,
    pauses: f64,
    outages: f64,
    /// Probability that a message is delayed by up to 3 s instead of 5 ms.
    late_share: f64,
    /// Injects a fault: a restarted node may count for others without waiting.
    joins_early: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Pull(usize, u64),
    Poll(usize, u64),
    Request {
        from: usize,
        to: usize,
        sent: Instant,
        incarnation: u64,
    },
    Response {
        to: usize,
        sent: Instant,
        report: FreshnessReport,
        incarnation: u64,
    },
    HeadRead {
        to: usize,
        sent: Instant,
        generation: u64,
        incarnation: u64,
    },
    Change,
    Cut,
    Restart,
    Pause,
    Resume(usize),
    Outage,
    Check,
}

struct Node {
    fresh: Freshness,
    incarnation: u64,
    paused: bool,
    /// Events to be handled at the end of the pause.
    deferred: Vec<Event>,
    store_reachable: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: Instant,
    end: Instant,
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Event>,
    nodes: Vec<Node>,
    /// Rosters by generation; the last one is the head.
    rosters: Vec<Vec<String>>,
    document: Document,
    /// Whether messages from the first node to the second one are lost.
    links_cut: Vec<Vec<bool>>,
    /// Newest generation that has come into force at any node.
    in_force: u64,
    violation: Option<String>,
    /// How many times a newer generation has come into force.
    activations: u64,
    last_incarnation: u64,
}

fn vm_name(node: usize) -> String {
    format!("vm-{node}")
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        let all = scenario.nodes + scenario.unrostered;
        let roster: Vec<String> = (0..scenario.nodes).map(vm_name).collect();
        let document = Document {
            roster: roster.clone(),
            rostered: 1,
            ..Document::default()
        };
        let nodes = (0..all)
            .map(|i| Node {
                fresh: Freshness::new(&vm_name(i), now),
                incarnation: i as u64,
                paused: false,
                deferred: Vec::new(),
                store_reachable: true,
            })
            .collect();
        let mut sim = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            end: now + Duration::from_secs(scenario.seconds),
            now,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes,
            rosters: vec![Vec::new(), roster],
            document,
            links_cut: vec![vec![false; all]; all],
            in_force: 0,
            violation: None,
            activations: 0,
            last_incarnation: 1_000,
            scenario,
        };
        for i in 0..all {
            let incarnation = sim.nodes[i].incarnation;
            sim.schedule(
                Duration::from_millis(7 * i as u64),
                Event::Pull(i, incarnation),
            );
            sim.schedule(
                Duration::from_millis(11 * i as u64),
                Event::Poll(i, incarnation),
            );
        }
        sim.schedule_random(sim.scenario.changes, Event::Change);
        sim.schedule_random(sim.scenario.cuts, Event::Cut);
        sim.schedule_random(sim.scenario.restarts, Event::Restart);
        sim.schedule_random(sim.scenario.pauses, Event::Pause);
        sim.schedule_random(sim.scenario.outages, Event::Outage);
        sim.schedule(Duration::from_millis(50), Event::Check);
        sim
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.events.push(event);
        self.queue
            .push(Reverse((self.now + wait, self.events.len() - 1)));
    }

    fn schedule_random(&mut self, rate: f64, event: Event) {
        if rate > 0.0 {
            let gap: f64 = self.rng.random();
            self.schedule(Duration::from_secs_f64(-(1.0 - gap).ln() / rate), event);
        }
    }

    fn message_delay(&mut self) -> Duration {
        let late = self.rng.random_bool(self.scenario.late_share);
        let max_ms = if late { 3_000 } else { 5 };
        Duration::from_micros(self.rng.random_range(200..1_000 * max_ms))
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at >= self.end || self.violation.is_some() {
                break;
            }
            self.now = at;
            let event = self.events[id].clone();
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Pull(i, _) | Event::Poll(i, _) => Some(*i),
            Event::Request { to, .. } | Event::Response { to, .. } | Event::HeadRead { to, .. } => {
                Some(*to)
            }
            _ => None,
        };
        if let Some(i) = node
            && self.nodes[i].paused
        {
            self.nodes[i].deferred.push(event);
            return;
        }
        match event {
            Event::Pull(i, incarnation) => self.pull(i, incarnation),
            Event::Poll(i, incarnation) => self.poll(i, incarnation),
            Event::Request {
                from,
                to,
                sent,
                incarnation,
            } => self.handle_request(from, to, sent, incarnation),
            Event::Response {
                to,
                sent,
                report,
                incarnation,
            } => self.handle_response(to, sent, &report, incarnation),
            Event::HeadRead {
                to,
                sent,
                generation,
                incarnation,
            } => self.handle_head_read(to, sent, generation, incarnation),
            Event::Change => self.change_configuration(),
            Event::Cut => self.cut_links(),
            Event::Restart => self.restart_random(),
            Event::Pause => self.pause_random(),
            Event::Resume(i) => self.resume_node(i),
            Event::Outage => self.change_reachability(),
            Event::Check => {
                self.check_freshness();
                self.schedule(Duration::from_millis(50), Event::Check);
            }
        }
    }

    fn pull(&mut self, i: usize, incarnation: u64) {
        if self.nodes[i].incarnation != incarnation {
            return;
        }
        self.schedule(PULL_INTERVAL, Event::Pull(i, incarnation));
        let to = self.rng.random_range(0..self.nodes.len());
        if to != i && !self.links_cut[i][to] {
            let sent = self.now;
            let delay = self.message_delay();
            self.schedule(
                delay,
                Event::Request {
                    from: i,
                    to,
                    sent,
                    incarnation,
                },
            );
        }
    }

    fn handle_request(&mut self, from: usize, to: usize, sent: Instant, incarnation: u64) {
        if !self.links_cut[to][from] {
            let report = self.nodes[to].fresh.report(self.now);
            let delay = self.message_delay();
            self.schedule(
                delay,
                Event::Response {
                    to: from,
                    sent,
                    report,
                    incarnation,
                },
            );
        }
    }

    fn handle_response(
        &mut self,
        to: usize,
        sent: Instant,
        report: &FreshnessReport,
        incarnation: u64,
    ) {
        if self.nodes[to].incarnation != incarnation {
            return;
        }
        let now = self.now;
        self.nodes[to].fresh.record_report(sent, report, now);
        let from = report.from.clone();
        if report.joined && report.generation > self.nodes[to].fresh.generation() {
            // The node fetches the configuration from the peer that holds the newer generation.
            let roster = self.rosters[report.generation as usize].clone();
            self.nodes[to]
                .fresh
                .install(report.generation, &roster, now);
            self.nodes[to].fresh.record_report(sent, report, now);
        }
        self.nodes[to]
            .fresh
            .record_holder(&from, report.generation, report.joined, now);
    }

    fn poll(&mut self, i: usize, incarnation: u64) {
        if self.nodes[i].incarnation != incarnation {
            return;
        }
        self.schedule(POLL_INTERVAL, Event::Poll(i, incarnation));
        if self.nodes[i].store_reachable {
            let (sent, generation) = (self.now, self.rosters.len() as u64 - 1);
            let delay = self.message_delay();
            self.schedule(
                delay,
                Event::HeadRead {
                    to: i,
                    sent,
                    generation,
                    incarnation,
                },
            );
        }
    }

    fn handle_head_read(&mut self, to: usize, sent: Instant, generation: u64, incarnation: u64) {
        let node = &mut self.nodes[to];
        if node.incarnation == incarnation {
            node.fresh.record_own_read(sent, generation, self.now);
            let roster = self.rosters[generation as usize].clone();
            node.fresh.install(generation, &roster, self.now);
            node.fresh.record_own_read(sent, generation, self.now);
        }
    }

    /// Changes the configuration if a random node reaches the store; some changes are to the roster.
    fn change_configuration(&mut self) {
        self.schedule_random(self.scenario.changes, Event::Change);
        let author = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[author].store_reachable {
            return;
        }
        let generation = self.rosters.len() as u64;
        let fresh = &self.nodes[author].fresh;
        // The roster may change only if the node's generation is in force and still the head.
        let is_allowed = fresh.in_force(self.now) && fresh.generation() + 1 == generation;
        if is_allowed && self.rng.random_bool(0.5) {
            let all: Vec<String> = (0..self.nodes.len()).map(vm_name).collect();
            let roster = &self.document.roster;
            let added: Vec<String> = all.into_iter().filter(|n| !roster.contains(n)).collect();
            let removed = match roster.len() > 3 && self.rng.random_bool(0.5) {
                true => roster.choose(&mut self.rng).cloned().into_iter().collect(),
                false => Vec::new(),
            };
            change_roster(&mut self.document, generation, &added, &removed);
        }
        self.rosters.push(self.document.roster.clone());
    }

    /// Cuts random links, each direction independently, or heals all links.
    fn cut_links(&mut self) {
        self.schedule_random(self.scenario.cuts, Event::Cut);
        let heal = self.rng.random_bool(0.4);
        let boundary = self.rng.random_range(0..self.nodes.len());
        for i in 0..self.nodes.len() {
            for j in 0..self.nodes.len() {
                let crosses = (i < boundary) != (j < boundary);
                self.links_cut[i][j] =
                    !heal && (self.rng.random_bool(0.2) || crosses && self.rng.random_bool(0.9));
            }
        }
    }

    /// Cuts the links of these pairs in both directions, and heals all others.
    fn cut_pairs(&mut self, pairs: &[(usize, usize)]) {
        for i in 0..self.nodes.len() {
            for j in 0..self.nodes.len() {
                self.links_cut[i][j] = pairs.contains(&(i, j)) || pairs.contains(&(j, i));
            }
        }
    }

    fn restart_random(&mut self) {
        self.schedule_random(self.scenario.restarts, Event::Restart);
        let i = self.rng.random_range(0..self.nodes.len());
        self.restart_node(i);
    }

    fn restart_node(&mut self, i: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        // The injected fault makes the node count as if it had started long ago.
        let started = match self.scenario.joins_early {
            true => self.now.checked_sub(2 * FRESH_FOR).unwrap_or(self.now),
            false => self.now,
        };
        self.nodes[i] = Node {
            fresh: Freshness::new(&vm_name(i), started),
            incarnation,
            paused: false,
            deferred: Vec::new(),
            store_reachable: self.nodes[i].store_reachable,
        };
        self.schedule(Duration::from_millis(5), Event::Pull(i, incarnation));
        self.schedule(Duration::from_millis(9), Event::Poll(i, incarnation));
    }

    fn pause_random(&mut self) {
        self.schedule_random(self.scenario.pauses, Event::Pause);
        let i = self.rng.random_range(0..self.nodes.len());
        self.nodes[i].paused = true;
        let wait = Duration::from_millis(self.rng.random_range(50..9_000));
        self.schedule(wait, Event::Resume(i));
    }

    fn resume_node(&mut self, i: usize) {
        self.nodes[i].paused = false;
        self.check_freshness();
        for event in std::mem::take(&mut self.nodes[i].deferred) {
            self.handle(event);
            self.check_freshness();
        }
    }

    /// Makes the store reachable or unreachable for all nodes or for about half of them.
    fn change_reachability(&mut self) {
        self.schedule_random(self.scenario.outages, Event::Outage);
        let all = self.rng.random_bool(0.5);
        let reachable = self.rng.random_bool(0.5);
        for node in &mut self.nodes {
            if all || self.rng.random_bool(0.5) {
                node.store_reachable = reachable;
            }
        }
    }

    /// Records a violation if a node is fresh with an older generation than one in force.
    fn check_freshness(&mut self) {
        for node in &self.nodes {
            let generation = node.fresh.generation();
            if node.fresh.in_force(self.now) && generation > self.in_force {
                self.in_force = generation;
                self.activations += 1;
            }
        }
        for (i, node) in self.nodes.iter().enumerate() {
            let (held, fresh) = (node.fresh.generation(), node.fresh.is_fresh(self.now));
            if fresh && held < self.in_force {
                let in_force = self.in_force;
                self.violation = Some(format!(
                    "node {i} is fresh with generation {held} \
                     although generation {in_force} is in force"
                ));
            }
        }
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let size = (0_u64..1_000_000, 3_usize..8, 0_usize..3);
    let rates = (
        0.05..0.6_f64,
        0.0..0.6_f64,
        0.0..0.5_f64,
        0.0..0.5_f64,
        0.0..0.4_f64,
        0.0..0.1_f64,
    );
    (size, rates).prop_map(|((seed, nodes, unrostered), rates)| Scenario {
        seed,
        nodes,
        unrostered,
        seconds: 60,
        changes: rates.0,
        cuts: rates.1,
        restarts: rates.2,
        pauses: rates.3,
        outages: rates.4,
        late_share: rates.5,
        joins_early: false,
    })
}

/// Creates a runner that generates the same cases in each run.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

#[test]
fn no_node_is_fresh_with_older_generation_than_one_in_force() {
    let in_force = std::cell::Cell::new(0);
    runner(1_500)
        .run(&scenarios(), |scenario| {
            let sim = Simulation::new(scenario).run();
            in_force.set(in_force.get() + sim.activations);
            prop_assert!(sim.violation.is_none(), "{:?}", sim.violation);
            Ok(())
        })
        .unwrap();
    println!("generations in force: {}", in_force.get());
    assert!(
        in_force.get() > 1_000,
        "too few generations came into force"
    );
}

type TimedStep = (Instant, fn(&mut Simulation));

/// Simulates that a node holds a new generation, restarts, and then reaches only a node with the
/// older one. Returns the violation if there is one.
fn rejoin_after_restart(joins_early: bool) -> Option<String> {
    let mut sim = Simulation::new(Scenario {
        joins_early,
        ..scenario_without_faults(3, 20)
    });
    let start = sim.now;
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut steps: Vec<TimedStep> = vec![
        (at(3), |sim| {
            sim.nodes[1].store_reachable = false;
            sim.nodes[2].store_reachable = false;
        }),
        // Node 2 is cut off just before the change, so it still is fresh for some time.
        (at(5), |sim| {
            sim.cut_pairs(&[(0, 2), (1, 2)]);
            sim.rosters.push(sim.document.roster.clone());
        }),
        (at(7), |sim| {
            sim.cut_pairs(&[(0, 1), (0, 2)]);
            sim.restart_node(1);
        }),
    ];
    steps.reverse();
    while let Some(Reverse((time, id))) = sim.queue.pop() {
        if time >= sim.end || sim.violation.is_some() {
            break;
        }
        sim.now = time;
        while steps.last().is_some_and(|(due, _)| *due <= time) {
            if let Some((_, step)) = steps.pop() {
                step(&mut sim);
            }
        }
        let event = sim.events[id].clone();
        sim.handle(event);
    }
    assert_eq!(
        sim.in_force, 2,
        "the change must come into force at the node that reaches the store"
    );
    sim.violation
}

#[test]
fn restarted_node_does_not_join_through_stale_node() {
    assert_eq!(rejoin_after_restart(false), None);
    // The simulation must detect the violation if a node counts immediately after its restart.
    assert!(
        rejoin_after_restart(true).is_some(),
        "the injected fault was not detected"
    );
}

fn scenario_without_faults(nodes: usize, seconds: u64) -> Scenario {
    Scenario {
        seed: 5,
        nodes,
        unrostered: 0,
        seconds,
        changes: 0.0,
        cuts: 0.0,
        restarts: 0.0,
        pauses: 0.0,
        outages: 0.0,
        late_share: 0.0,
        joins_early: false,
    }
}

#[test]
fn connected_nodes_stay_fresh_for_hours_without_store() {
    let scenario = scenario_without_faults(18, 2 * 3_600);
    let mut sim = Simulation::new(scenario);
    let outage_start = sim.now + Duration::from_secs(10);
    let mut stale = 0_u32;
    while let Some(Reverse((at, id))) = sim.queue.pop() {
        if at >= sim.end {
            break;
        }
        sim.now = at;
        if at >= outage_start {
            for node in &mut sim.nodes {
                node.store_reachable = false;
            }
        }
        let event = std::mem::replace(&mut sim.events[id], Event::Resume(0));
        let is_check = matches!(event, Event::Check);
        sim.handle(event);
        if is_check && at >= outage_start {
            let now = sim.now;
            stale += sim
                .nodes
                .iter()
                .map(|n| u32::from(!n.fresh.is_fresh(now)))
                .sum::<u32>();
        }
    }
    assert_eq!(
        stale, 0,
        "a node stopped being fresh although all links worked"
    );
}

#[test]
fn minority_stops_being_fresh_after_partition() {
    let scenario = scenario_without_faults(5, 30);
    let mut sim = Simulation::new(scenario);
    let cut_at = sim.now + Duration::from_secs(10);
    let mut is_cut = false;
    while let Some(Reverse((at, id))) = sim.queue.pop() {
        if at >= sim.end {
            break;
        }
        sim.now = at;
        if !is_cut && at >= cut_at {
            is_cut = true;
            for i in 0..5 {
                for j in 0..5 {
                    sim.links_cut[i][j] = (i < 2) != (j < 2);
                }
            }
            sim.nodes[0].store_reachable = false;
            sim.nodes[1].store_reachable = false;
        }
        let event = sim.events[id].clone();
        sim.handle(event);
        let is_expired = at > cut_at + FRESH_FOR;
        for (i, node) in sim.nodes.iter().enumerate() {
            let is_fresh = node.fresh.is_fresh(at);
            assert!(
                !(is_expired && i < 2 && is_fresh),
                "node {i} of the minority is still fresh"
            );
            assert!(
                !(is_cut && i >= 2 && !is_fresh),
                "node {i} of the majority is not fresh"
            );
        }
    }
}

#[test]
fn outdated_generation_is_overdue_at_bound_after_last_read_that_found_no_newer_one() {
    let bound = Duration::from_secs(2);
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut fresh = Freshness::new("a", start);
    fresh.use_head_reads_only();
    fresh.install(1, &[], start);
    fresh.record_own_read(start, 1, start);
    assert!(
        !fresh.is_overdue(1, bound, at(3_000)),
        "no newer one is known"
    );
    // A read that finds the newer generation doesn't prove anything for the held one.
    fresh.record_own_read(at(1_500), 2, at(1_500));
    assert!(!fresh.is_overdue(2, bound, at(1_999)));
    assert!(fresh.is_overdue(2, bound, at(2_000)));
    assert!(
        fresh.is_fresh(at(2_000)),
        "the proof itself is valid for longer"
    );
    fresh.install(2, &[], at(2_500));
    assert!(!fresh.is_overdue(2, bound, at(3_000)));
}
