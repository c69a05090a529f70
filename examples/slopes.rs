//! Measures what docs/CAPACITY.md is worked out from: the real controllers and codecs at several
//! sizes up to the full one. Run it with `cargo run --release --example slopes`.

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
        bucket::{Bucket, LEASE_TERM, LeaseId, TOKEN, slice_of, slices},
        fresh::Freshness,
        leases::{Account, Lease, TakeResult},
        pick::{Candidate, pick},
        roster::quorum,
    },
};
use rand::{Rng, SeedableRng, rng, rngs::StdRng};

const SIZES: [usize; 4] = [24, 190, 380, 760];
const TARGETS_PER_NODE: usize = 12;
const SERVICES: usize = 190;

fn main() {
    attempts();
    configuration();
    gossip_size_and_time();
    freshness_through_gossip();
    join_by_call();
    views();
    rates();
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn timed<T>(runs: u32, mut f: impl FnMut() -> T) -> f64 {
    let begun = Instant::now();
    for _ in 0..runs {
        black_box(f());
    }
    begun.elapsed().as_secs_f64() / f64::from(runs) * 1e6
}

fn vm(i: usize) -> String {
    format!("10.{}.{}.{}:7000", i / 65_536, i / 256 % 256, i % 256)
}

fn record(i: usize) -> Record {
    let target = |t: usize| TargetRecord {
        id: format!("target-{i}-{t}"),
        service: format!("service-{}", (i * TARGETS_PER_NODE + t) % SERVICES),
        state: 0,
        slots: 7,
        latency_ms: 16,
    };
    Record {
        vm: vm(i),
        incarnation: 1_796_000_000_000_000 + i as u64,
        version: 1,
        data_centre: format!("centre-{}", i % 6),
        generation: 12_345,
        joined: true,
        leaving: false,
        targets: (0..TARGETS_PER_NODE).map(target).collect(),
        kept: Vec::new(),
    }
}

struct Node {
    members: Membership,
    fresh: Freshness,
    gossip: Gossip,
    own: Record,
}

fn nodes(count: usize, known: bool, now: Instant) -> Vec<Node> {
    let roster: Vec<String> = {
        let mut r: Vec<String> = (0..count).map(vm).collect();
        r.sort();
        r
    };
    let mut all = Membership::default();
    for i in 0..count {
        all.merge(&record(i));
    }
    (0..count)
        .map(|i| {
            let mut fresh = Freshness::new(&vm(i), now);
            fresh.install(1, &roster, now);
            fresh.record_own_read(now, 1, now);
            let mut members = if known {
                all.clone()
            } else {
                Membership::default()
            };
            members.merge(&record(i));
            Node {
                members,
                fresh,
                gossip: Gossip::default(),
                own: record(i),
            }
        })
        .collect()
}

fn pull_of(packet: Packet) -> Pull {
    match packet.body {
        Some(packet::Body::Pull(pull)) => pull,
        _ => Pull::default(),
    }
}

fn news_of(packet: Packet) -> News {
    match packet.body {
        Some(packet::Body::News(news)) => news,
        _ => News::default(),
    }
}

/// One pull with its answer; returns the bytes of both.
fn exchange(nodes: &mut [Node], from: usize, to: usize, now: Instant) -> (usize, usize) {
    let asking = &mut nodes[from];
    let pull = asking.gossip.pull(&asking.own, &asking.members, now);
    let pull_bytes = encode(&pull).len();
    let pull = pull_of(pull);
    let asked = &mut nodes[to];
    if let Some(sender) = &pull.sender {
        asked.members.merge(sender);
    }
    let news = answer_pull(&pull, 1, &[7; 32], &mut asked.members, &asked.fresh, now);
    let news_bytes = encode(&news).len();
    let news = news_of(news);
    let asking = &mut nodes[from];
    let _ = asking
        .gossip
        .apply_answer(&news, &mut asking.members, &mut asking.fresh, now);
    (pull_bytes, news_bytes)
}

fn gossip_size_and_time() {
    println!("## gossip: bytes and processor time of one pull and its answer, nothing new");
    let secret = Secret::new("a secret for measuring only").expect("it is long enough");
    for count in SIZES {
        let now = Instant::now();
        let mut all = nodes(count, true, now);
        exchange(&mut all, 0, 1, now);
        // By then the own record is no longer new.
        let now = now + Duration::from_secs(5);
        let (pull, news) = exchange(&mut all, 0, 1, now);
        let time = timed(300, || exchange(&mut all, 0, 1, now));
        let sealed = secret.sign(&[0; 800]);
        let seal = timed(1_000, || secret.verify(&sealed).is_ok());
        let packet = Packet {
            body: Some(packet::Body::Pull(Pull::default())),
        };
        let codec = timed(1_000, || decode(&encode(&packet)).is_ok());
        println!(
            "vms {count:>4}: pull {pull:>4} B, answer {news:>4} B, both sides {time:>7.1} us, \
             open a datagram {seal:.1} us, empty codec {codec:.2} us"
        );
    }
}

/// Plays gossip alone, without the store, and finds how old the quorum's news gets.
fn freshness_through_gossip() {
    println!("## freshness without the store: age of the news of a quorum, limit 4 s");
    for count in SIZES {
        for every_ms in [250_u64, 500] {
            let mut rng = StdRng::seed_from_u64(9);
            let begun = Instant::now();
            let mut all = nodes(count, true, begun);
            let mut worst = Duration::ZERO;
            let mut stale = 0_u32;
            let mut looked = 0_u32;
            let mut now = begun;
            for round in 0..(12_000 / every_ms) {
                for from in 0..count {
                    now = begun
                        + Duration::from_millis(round * every_ms)
                        + Duration::from_micros(every_ms * 1_000 * from as u64 / count as u64);
                    let to = rng.random_range(0..count);
                    if to != from {
                        exchange(&mut all, from, to, now);
                    }
                }
                if round * every_ms < 6_000 {
                    continue;
                }
                for node in &all {
                    let until = node.fresh.fresh_until();
                    let left = until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
                    worst = worst.max(Duration::from_secs(4).saturating_sub(left));
                    stale += u32::from(left.is_zero());
                    looked += 1;
                }
            }
            println!(
                "vms {count:>4}, quorum {:>3}, pull every {every_ms} ms: worst age {:.2} s, \
                 not fresh {:.3}%",
                quorum(count),
                worst.as_secs_f64(),
                100.0 * f64::from(stale) / f64::from(looked)
            );
        }
    }
}

/// Finds what a newcomer fetches to know all records, by one call.
fn join_by_call() {
    println!("## a newcomer learns all records by one call");
    for count in SIZES {
        let now = Instant::now();
        let mut all = nodes(count, true, now);
        let empty = [0; marjoramdyke::fleet::BUCKETS];
        let records = all[1].members.differing(&empty, usize::MAX);
        let bytes: usize = records.iter().map(prost::Message::encoded_len).sum();
        let time = timed(3, || {
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

fn document(organisations: usize, routes: usize) -> Document {
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
            cold_rate: 0.0,
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
    document.roster = (0..760).map(vm).collect();
    document
}

fn configuration() {
    println!("## configuration: all chunks, one changed key, time to take it up, memory");
    for (organisations, routes) in [(8, 4), (18_000, 1_100), (36_000, 2_200), (72_000, 4_400)] {
        let before = resident();
        let document = document(organisations, routes);
        let packed = pack(&document);
        let whole: usize = packed.contents.values().map(bytes::Bytes::len).sum();
        let mut changed = document.clone();
        if let Some(one) = changed.organisations.values_mut().next() {
            one.keys.clear();
        }
        let after = pack(&changed);
        let new = after
            .contents
            .iter()
            .filter(|(d, _)| !packed.contents.contains_key(d));
        let delta: usize = new.map(|(_, c)| c.len()).sum();
        let unpacked = timed(3, || {
            unpack(&packed.manifest, |d| packed.contents.get(d).cloned())
        });
        let document = Arc::new(document);
        let indexed = timed(3, || Index::new(1, Arc::clone(&document)));
        let index = Index::new(1, Arc::clone(&document));
        let (key, host) = ("organisation-5", "host-3.example");
        let found = timed(10_000, || index.key(key).is_some());
        let routed = timed(10_000, || {
            index
                .route(host, "/part-3/things/a/b", &mut rng())
                .is_some()
        });
        drop((changed, after));
        println!(
            "organisations {organisations:>5}, routes {routes:>4}: whole {} KB, delta {} KB, \
             unpack {:.1} ms, index {:.1} ms, key {found:.2} us, route {routed:.2} us, \
             resident +{} MB",
            whole / 1_000,
            delta / 1_000,
            unpacked / 1e3,
            indexed / 1e3,
            (resident().saturating_sub(before)) >> 20
        );
    }
}

fn views() {
    println!("## views and choice");
    let index = Arc::new(Index::new(1, Arc::new(document(8, 4))));
    for count in SIZES {
        let mut board = Board::default();
        let placed = Instant::now();
        for i in 0..count {
            board.apply_record(&record(i));
        }
        let place = placed.elapsed().as_secs_f64() / count as f64 * 1e6;
        let mut loads = HashMap::new();
        let time = timed(5, || build_view(&board, &index, &vm(0), &mut loads));
        println!(
            "vms {count:>4}, targets {:>4}: place one VM {place:.1} us, render {:.2} ms",
            count * TARGETS_PER_NODE,
            time / 1e3
        );
    }
    let mut rng = StdRng::seed_from_u64(1);
    for count in [6, 47, 400] {
        let one = |i: usize| Candidate {
            local: i.is_multiple_of(6),
            load: (i % 5) as f64,
            slots: 7.0,
            avoided: false,
            cold: false,
        };
        let candidates: Vec<Candidate> = (0..count).map(one).collect();
        let time = timed(10_000, || pick(&candidates, &mut rng));
        println!("choice among {count:>3} targets: {time:.2} us");
    }
}

/// Plays the rates of the whole fleet: Zipf 1.0 over organisations, guards at random or preferred.
fn rates() {
    println!("## rates: asks of the whole fleet, 55,000 requests/s, Zipf 1.0, 760 guards");
    for organisations in [18_000, 36_000, 72_000] {
        for preferred in [760_usize, 12, 3] {
            let (asks, requests, refused, time) = play_rates(organisations, preferred);
            println!(
                "organisations {organisations:>5}, guards an organisation uses {preferred:>3}: \
                 {asks:>6.0} asks/s ({:.2} a request), refused {:.4}%, {time:.2} us a request",
                asks / requests,
                100.0 * refused / requests
            );
        }
    }
}

fn play_rates(organisations: usize, preferred: usize) -> (f64, f64, f64, f64) {
    const RATE: f64 = 55_000.0;
    const SECONDS: f64 = 4.0;
    let mut rng = StdRng::seed_from_u64(3);
    let harmonic: f64 = (1..=organisations).map(|i| 1.0 / i as f64).sum();
    let mut sums = Vec::with_capacity(organisations);
    let mut sum = 0.0;
    for i in 1..=organisations {
        sum += 1.0 / i as f64 / harmonic;
        sums.push(sum);
    }
    let zero = Instant::now();
    let mut accounts: HashMap<(usize, usize), Account> = HashMap::new();
    let mut buckets: HashMap<(usize, u32), Bucket> = HashMap::new();
    let (mut at, mut sequence, mut asks, mut requests, mut refused) = (0.0, 0, 0.0, 0.0, 0.0);
    let begun = Instant::now();
    while at < SECONDS {
        at += -(1.0 - rng.random::<f64>()).ln() / RATE;
        let now = zero + Duration::from_secs_f64(at);
        let draw: f64 = rng.random();
        let organisation = sums.partition_point(|s| *s < draw).min(organisations - 1);
        let guard = rng.random_range(0..preferred);
        let share = RATE / (organisation + 1) as f64 / harmonic;
        let (rate, burst) = (1.5 * share + 1.0, (3.0 * share) as u32 + 10);
        let count = slices(burst, 6);
        requests += 1.0;
        let account = accounts
            .entry((organisation, guard))
            .or_insert_with(|| Account::new(now));
        let mut order: Vec<u32> = (0..count).collect();
        order.rotate_left(guard % count as usize);
        let mut admitted = matches!(account.try_take(now), TakeResult::Admitted(_));
        for slice in order {
            if admitted {
                break;
            }
            asks += 1.0;
            sequence += 1;
            let (r, b) = slice_of(rate, burst, count, slice);
            let bucket = buckets
                .entry((organisation, slice))
                .or_insert_with(|| Bucket::new(r, b, true, now));
            let borrower = guard as u64;
            for loan in account.take_closed("keeper", slice) {
                let spends: Vec<_> = loan.spends.iter().map(|(n, t)| (*n, now - *t)).collect();
                bucket.settle(
                    LeaseId {
                        borrower,
                        sequence: loan.sequence,
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
                    owner: "keeper".to_owned(),
                    sequence,
                    granted: grant.granted,
                    spent: 0,
                    spends: Vec::new(),
                    expires: now + LEASE_TERM,
                });
            }
            admitted = matches!(account.try_take(now), TakeResult::Admitted(_));
        }
        refused += f64::from(u8::from(!admitted));
    }
    let time = begun.elapsed().as_secs_f64() / requests * 1e6;
    (asks / SECONDS, requests / SECONDS, refused / SECONDS, time)
}

fn attempts() {
    println!("## the ledger of attempts, remembered 900 s");
    for count in [10_000_u64, 65_000, 130_000] {
        let before = resident();
        let mut ledger = Ledger::default();
        let begun = Instant::now();
        for sequence in 0..count {
            let id = AttemptId {
                ingress: sequence % 760,
                sequence,
                number: 1,
            };
            let _ = ledger.register(id);
            let _ = ledger.start(id);
            ledger.end(id, begun);
        }
        let time = begun.elapsed().as_secs_f64() / count as f64 * 1e6;
        let bytes = resident().saturating_sub(before) / count;
        println!("attempts {count:>6}: {time:.2} us and {bytes} B an attempt");
    }
}
