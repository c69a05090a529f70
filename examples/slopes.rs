//! Measures the costs from which docs/CAPACITY.md is calculated: the policies and codecs of the fleet at
//! several sizes up to the full one. Run it with `cargo run --release --example slopes`.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "sizes of a measurement are small"
)]

use std::{
    collections::HashMap,
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use marjoramdyke::{
    board::{Board, build_view},
    config::{
        Access, Document, Index, Key, Organisation, Repeat, Route, Service, digest_key, pack,
        unpack,
    },
    fleet::{
        Membership, Secret,
        codec::{News, Packet, Pull, Record, TargetRecord, packet},
        gossip::{Gossip, answer_pull, decode, encode},
    },
    policy::{
        attempt::{AttemptId, Ledger},
        bucket::{Bucket, LEASE_TERM, LeaseId, TOKEN, slice_count, slice_size},
        fresh::Freshness,
        leases::{Account, Lease, SpendResult},
        pick::{Candidate, pick},
        roster::quorum,
    },
};
use rand::{Rng, SeedableRng, rng, rngs::StdRng};

/// Numbers of VMs of the measured fleets.
const SIZES: [usize; 4] = [24, 190, 380, 760];
const TARGETS_PER_NODE: usize = 12;
const SERVICES: usize = 190;

fn main() {
    measure_attempts();
    measure_configuration();
    measure_gossip();
    measure_freshness();
    measure_join();
    measure_views();
    measure_rates();
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Returns the mean duration of a call in microseconds.
fn mean_micros<T>(runs: u32, mut f: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..runs {
        black_box(f());
    }
    started.elapsed().as_secs_f64() / f64::from(runs) * 1e6
}

fn vm_address(i: usize) -> String {
    format!("10.{}.{}.{}:7000", i / 65_536, i / 256 % 256, i % 256)
}

/// Returns the record of a node with its targets.
fn sample_record(i: usize) -> Record {
    let target = |t: usize| TargetRecord {
        id: format!("target-{i}-{t}"),
        service: format!("service-{}", (i * TARGETS_PER_NODE + t) % SERVICES),
        state: 0,
        slots: 7,
        latency_ms: 16,
        ..TargetRecord::default()
    };
    Record {
        vm: vm_address(i),
        incarnation: u64::MAX - i as u64,
        version: 1,
        data_centre: format!("centre-{}", i % 6),
        generation: 12_345,
        joined: true,
        leaving: false,
        targets: (0..TARGETS_PER_NODE).map(target).collect(),
        kept: Vec::new(),
        departed: Vec::new(),
        order: 1_796_000_000_000_000,
        epoch: 1_796_000_000_000_000,
    }
}

struct Node {
    members: Membership,
    fresh: Freshness,
    gossip: Gossip,
    own_record: Record,
}

/// Creates nodes that all have read generation 1. If `full`, each has the records of all others.
fn create_nodes(count: usize, full: bool, now: Instant) -> Vec<Node> {
    let roster: Vec<String> = {
        let mut addresses: Vec<String> = (0..count).map(vm_address).collect();
        addresses.sort();
        addresses
    };
    let mut all_members = Membership::default();
    for i in 0..count {
        all_members.merge(&sample_record(i));
    }
    (0..count)
        .map(|i| {
            let mut fresh = Freshness::new(&vm_address(i), now);
            fresh.install(1, &roster, now);
            fresh.record_own_read(now, 1, now);
            let mut members = if full {
                all_members.clone()
            } else {
                Membership::default()
            };
            members.merge(&sample_record(i));
            Node {
                members,
                fresh,
                gossip: Gossip::default(),
                own_record: sample_record(i),
            }
        })
        .collect()
}

fn into_pull(packet: Packet) -> Pull {
    match packet.body {
        Some(packet::Body::Pull(pull)) => pull,
        _ => Pull::default(),
    }
}

fn into_news(packet: Packet) -> News {
    match packet.body {
        Some(packet::Body::News(news)) => news,
        _ => News::default(),
    }
}

/// Sends one pull from one node to another and applies the answer; returns the sizes of both in bytes.
fn exchange(nodes: &mut [Node], from: usize, to: usize, now: Instant) -> (usize, usize) {
    let sender = &mut nodes[from];
    let pull = sender
        .gossip
        .create_pull(&sender.own_record, &sender.members, false, now);
    let pull_bytes = encode(&pull).len();
    let pull = into_pull(pull);
    let receiver = &mut nodes[to];
    if let Some(record) = &pull.sender {
        receiver.members.merge(record);
    }
    let answer = answer_pull(
        &pull,
        1,
        &[7; 32],
        &mut receiver.members,
        &receiver.fresh,
        now,
    );
    let answer_bytes = encode(&answer).len();
    let news = into_news(answer);
    let sender = &mut nodes[from];
    let _ = sender
        .gossip
        .apply_answer(&news, &mut sender.members, &mut sender.fresh, now);
    (pull_bytes, answer_bytes)
}

/// Measures the sizes of a pull and its answer between nodes with the same records, and their processor time.
fn measure_gossip() {
    println!(
        "## gossip: size and processor time of one pull and its answer when no record has changed"
    );
    let secret = Secret::new("a secret for measurements only").expect("the secret is long enough");
    for count in SIZES {
        let now = Instant::now();
        let mut nodes = create_nodes(count, true, now);
        exchange(&mut nodes, 0, 1, now);
        // After this time the node's own record no longer counts as changed.
        let now = now + Duration::from_secs(5);
        let (pull, answer) = exchange(&mut nodes, 0, 1, now);
        let time = mean_micros(300, || exchange(&mut nodes, 0, 1, now));
        let signed = secret.sign(&[0; 800]);
        let verify_time = mean_micros(1_000, || secret.verify(&signed).is_ok());
        let packet = Packet {
            body: Some(packet::Body::Pull(Pull::default())),
        };
        let codec_time = mean_micros(1_000, || decode(&encode(&packet)).is_ok());
        println!(
            "vms {count:>4}: pull {pull:>4} B, answer {answer:>4} B, both sides {time:>7.1} us, \
             verify a datagram {verify_time:.1} us, encode and decode an empty packet {codec_time:.2} us"
        );
    }
}

/// Simulates gossip without the store and measures the age of the reports of a quorum.
fn measure_freshness() {
    println!("## freshness without the store: age of the reports of a quorum, limit 4 s");
    for count in SIZES {
        for interval_ms in [250_u64, 500] {
            let mut rng = StdRng::seed_from_u64(9);
            let started = Instant::now();
            let mut nodes = create_nodes(count, true, started);
            let mut worst = Duration::ZERO;
            let mut stale = 0_u32;
            let mut checks = 0_u32;
            let mut now = started;
            for round in 0..(12_000 / interval_ms) {
                for from in 0..count {
                    now = started
                        + Duration::from_millis(round * interval_ms)
                        + Duration::from_micros(interval_ms * 1_000 * from as u64 / count as u64);
                    let to = rng.random_range(0..count);
                    if to != from {
                        exchange(&mut nodes, from, to, now);
                    }
                }
                if round * interval_ms < 6_000 {
                    continue;
                }
                for node in &nodes {
                    let until = node.fresh.fresh_until();
                    let remaining =
                        until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
                    worst = worst.max(Duration::from_secs(4).saturating_sub(remaining));
                    stale += u32::from(remaining.is_zero());
                    checks += 1;
                }
            }
            println!(
                "vms {count:>4}, quorum {:>3}, pull every {interval_ms} ms: worst age {:.2} s, \
                 not fresh {:.3}%",
                quorum(count),
                worst.as_secs_f64(),
                100.0 * f64::from(stale) / f64::from(checks)
            );
        }
    }
}

/// Measures the size of the records that a new node fetches with one call, and the time to merge them.
fn measure_join() {
    println!("## join: a new node fetches all records with one call");
    for count in SIZES {
        let now = Instant::now();
        let mut nodes = create_nodes(count, true, now);
        let no_digests = [0; marjoramdyke::fleet::BUCKETS];
        let records = nodes[1].members.differing(&no_digests, usize::MAX);
        let bytes: usize = records.iter().map(prost::Message::encoded_len).sum();
        let time = mean_micros(3, || {
            let mut members = Membership::default();
            for record in &records {
                members.merge(record);
            }
        });
        println!(
            "vms {count:>4}: {} records, {} KB, merged in {:.2} ms",
            records.len(),
            bytes / 1_000,
            time / 1e3
        );
    }
}

/// Returns a document with organisations and routes spread over all services.
fn sample_document(organisations: usize, routes: usize) -> Document {
    let mut document = Document::default();
    for i in 0..SERVICES {
        let name = format!("service-{i}");
        let service = Service {
            name: name.clone(),
            floor: 0.5,
            timeout_ms: 10_000,
            retry_share: 0.1,
            retry_slack: 0,
            connections: 300,
            queue: 64,
            stated_slots: false,
            health: "/health".to_owned(),
            cold_rate: 0.0,
            cold_burst: 0.0,
            cold_ms: 0,
        };
        document.services.insert(name, service);
    }
    for i in 0..routes {
        document.routes.push(Route {
            host: format!("host-{}.example", i % 400),
            prefix: format!("/part-{i}/things"),
            service: format!("service-{}", i % SERVICES),
            access: Access::Keyed,
            idempotent: Vec::new(),
            split: Vec::new(),
            repeat: Repeat::Method,
            timeout_ms: 0,
            objective_ms: 0,
            attempts: 0,
            large: false,
            priority: 0,
        });
    }
    for i in 0..organisations {
        let name = format!("organisation-{i}");
        let key = Key {
            id: format!("key-{i}"),
            digest: digest_key(&name),
            granted: false,
        };
        let organisation = Organisation {
            name: name.clone(),
            rate: 10.0,
            burst: 20,
            weight: 1,
            priority: 0,
            keys: vec![key],
            withdrawn: Vec::new(),
        };
        document.organisations.insert(name, organisation);
    }
    document.roster = (0..760).map(vm_address).collect();
    document
}

/// Measures the size of the whole configuration and of one change, and the time and memory to install it.
fn measure_configuration() {
    println!(
        "## configuration: size of all chunks and of one changed key, time to install, memory"
    );
    for (organisations, routes) in [(8, 4), (18_000, 1_100), (36_000, 2_200), (72_000, 4_400)] {
        let before = resident_bytes();
        let document = sample_document(organisations, routes);
        let packed = pack(&document);
        let full_size: usize = packed.contents.values().map(bytes::Bytes::len).sum();
        let mut changed = document.clone();
        if let Some(organisation) = changed.organisations.values_mut().next() {
            organisation.keys.clear();
        }
        let repacked = pack(&changed);
        let new_chunks = repacked
            .contents
            .iter()
            .filter(|(d, _)| !packed.contents.contains_key(d));
        let changed_size: usize = new_chunks.map(|(_, c)| c.len()).sum();
        let unpack_time = mean_micros(3, || {
            unpack(&packed.manifest, |d| packed.contents.get(d).cloned())
        });
        let document = Arc::new(document);
        let index_time = mean_micros(3, || Index::new(1, Arc::clone(&document)));
        let index = Index::new(1, Arc::clone(&document));
        let (key, host) = ("organisation-5", "host-3.example");
        let key_time = mean_micros(10_000, || index.key(key).is_some());
        let route_time = mean_micros(10_000, || {
            index
                .route(host, "/part-3/things/a/b", &mut rng())
                .is_some()
        });
        drop((changed, repacked));
        println!(
            "organisations {organisations:>5}, routes {routes:>4}: all chunks {} KB, changed chunks {} KB, \
             unpack {:.1} ms, index {:.1} ms, find a key {key_time:.2} us, find a route {route_time:.2} us, \
             resident +{} MB",
            full_size / 1_000,
            changed_size / 1_000,
            unpack_time / 1e3,
            index_time / 1e3,
            (resident_bytes().saturating_sub(before)) >> 20
        );
    }
}

/// Measures the time to apply a record, to build the view for requests and to choose a target from it.
fn measure_views() {
    println!("## views and choice of a target");
    let index = Arc::new(Index::new(1, Arc::new(sample_document(8, 4))));
    for count in SIZES {
        let mut board = Board::default();
        let started = Instant::now();
        for i in 0..count {
            board.apply_record(&sample_record(i));
        }
        let apply_time = started.elapsed().as_secs_f64() / count as f64 * 1e6;
        let mut loads = HashMap::new();
        let time = mean_micros(5, || build_view(&board, &index, &vm_address(0), &mut loads));
        println!(
            "vms {count:>4}, targets {:>4}: apply one record {apply_time:.1} us, build the view {:.2} ms",
            count * TARGETS_PER_NODE,
            time / 1e3
        );
    }
    let mut rng = StdRng::seed_from_u64(1);
    for count in [6, 47, 400] {
        let candidate = |i: usize| Candidate {
            local: i.is_multiple_of(6),
            load: (i % 5) as f64,
            slots: 7.0,
            avoided: false,
            cold: false,
        };
        let candidates: Vec<Candidate> = (0..count).map(candidate).collect();
        let time = mean_micros(10_000, || pick(&candidates, &mut rng));
        println!("choose among {count:>3} targets: {time:.2} us");
    }
}

/// Measures the lease requests of the whole fleet. The rates of the organisations follow a Zipf
/// distribution with exponent 1.0, and each organisation uses all egress nodes or only a few.
fn measure_rates() {
    println!(
        "## rates: lease requests of the whole fleet, 55,000 requests/s, Zipf 1.0, 760 egress nodes"
    );
    for organisations in [18_000, 36_000, 72_000] {
        for egress_count in [760_usize, 12, 3] {
            let (lease_requests, requests, refused, time) =
                simulate_rates(organisations, egress_count);
            println!(
                "organisations {organisations:>5}, egress nodes per organisation {egress_count:>3}: \
                 {lease_requests:>6.0} lease requests/s ({:.2} per request), refused {:.4}%, \
                 {time:.2} us per request",
                lease_requests / requests,
                100.0 * refused / requests
            );
        }
    }
}

/// Simulates the egress nodes and the owners of the slices. Returns lease requests, requests and refusals
/// per second and the time per request in microseconds.
fn simulate_rates(organisations: usize, egress_count: usize) -> (f64, f64, f64, f64) {
    const RATE: f64 = 55_000.0;
    const SECONDS: f64 = 4.0;
    let mut rng = StdRng::seed_from_u64(3);
    let harmonic: f64 = (1..=organisations).map(|i| 1.0 / i as f64).sum();
    let mut cumulative = Vec::with_capacity(organisations);
    let mut sum = 0.0;
    for i in 1..=organisations {
        sum += 1.0 / i as f64 / harmonic;
        cumulative.push(sum);
    }
    let origin = Instant::now();
    let mut accounts: HashMap<(usize, usize), Account> = HashMap::new();
    let mut buckets: HashMap<(usize, u32), Bucket> = HashMap::new();
    let (mut seconds, mut sequence, mut lease_requests, mut requests, mut refused) =
        (0.0, 0, 0.0, 0.0, 0.0);
    let started = Instant::now();
    while seconds < SECONDS {
        seconds += -(1.0 - rng.random::<f64>()).ln() / RATE;
        let now = origin + Duration::from_secs_f64(seconds);
        let sample: f64 = rng.random();
        let organisation = cumulative
            .partition_point(|s| *s < sample)
            .min(organisations - 1);
        let egress = rng.random_range(0..egress_count);
        let mean_rate = RATE / (organisation + 1) as f64 / harmonic;
        let (rate, burst) = (1.5 * mean_rate + 1.0, (3.0 * mean_rate) as u32 + 10);
        let count = slice_count(burst, 6);
        requests += 1.0;
        let account = accounts
            .entry((organisation, egress))
            .or_insert_with(|| Account::new(now));
        let mut order: Vec<u32> = (0..count).collect();
        order.rotate_left(egress % count as usize);
        let mut admitted = matches!(account.try_spend(now), SpendResult::Admitted(_));
        for slice in order {
            if admitted {
                break;
            }
            lease_requests += 1.0;
            sequence += 1;
            let (slice_rate, slice_burst) = slice_size(rate, burst, count, slice);
            let bucket = buckets
                .entry((organisation, slice))
                .or_insert_with(|| Bucket::new(slice_rate, slice_burst, true, now));
            let borrower = egress as u64;
            for lease in account.take_closed("owner", slice) {
                let spends: Vec<_> = lease.spends.iter().map(|(n, t)| (*n, now - *t)).collect();
                bucket.settle(
                    LeaseId {
                        borrower,
                        sequence: lease.sequence,
                    },
                    &spends,
                    now,
                );
            }
            let wanted = account.wanted(1, now);
            let least = TOKEN.saturating_sub(account.available());
            let grant = bucket.grant_lease(LeaseId { borrower, sequence }, wanted, least, now);
            if grant.granted > 0 {
                account.add_lease(Lease {
                    slice,
                    owner: "owner".to_owned(),
                    sequence,
                    granted: grant.granted,
                    spent: 0,
                    spends: Vec::new(),
                    expires: now + LEASE_TERM,
                });
            }
            admitted = matches!(account.try_spend(now), SpendResult::Admitted(_));
        }
        refused += f64::from(u8::from(!admitted));
    }
    let time = started.elapsed().as_secs_f64() / requests * 1e6;
    (
        lease_requests / SECONDS,
        requests / SECONDS,
        refused / SECONDS,
        time,
    )
}

/// Measures the time and memory of the ledger of attempts.
fn measure_attempts() {
    println!("## attempts: ledger that keeps each attempt for 900 s");
    for count in [10_000_u64, 65_000, 130_000] {
        let before = resident_bytes();
        let mut ledger = Ledger::default();
        let started = Instant::now();
        for sequence in 0..count {
            let id = AttemptId {
                ingress: sequence % 760,
                sequence,
                number: 1,
            };
            let _ = ledger.register(id);
            let _ = ledger.start(id);
            ledger.end(id, started);
        }
        let time = started.elapsed().as_secs_f64() / count as f64 * 1e6;
        let bytes = resident_bytes().saturating_sub(before) / count;
        println!("attempts {count:>6}: {time:.2} us and {bytes} B per attempt");
    }
}
