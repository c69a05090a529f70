//! The gossip protocol: builds pulls and answers, and applies received answers. It does no I/O;
//! see `node::gossip` for the sockets.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use prost::{DecodeError, Message};

use crate::{
    fleet::{
        Membership,
        codec::{Departure, Extra, News, Packet, Pull, Record, packet},
    },
    policy::fresh::{Freshness, FreshnessReport},
};

/// How long an answer to a pull may take; later answers are ignored.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of records in one answer, so that the datagram is not fragmented on ordinary
/// networks.
const MAX_RECORD_BYTES: usize = 700;

/// If more buckets than this differ, the records are fetched by a call instead of in datagrams.
const MAX_DIFFERING_BUCKETS: u32 = 4;

/// How long a node adds its own record to its pulls after its start and after each change of it.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);

/// Most VMs outside the roster whose ages are sent in one answer.
const MAX_EXTRAS: usize = 40;

/// Ages of VMs outside the roster are sent only if they are below this.
const MAX_EXTRA_AGE: Duration = Duration::from_secs(4);

/// The state of the gossip protocol on one node.
#[derive(Debug, Default)]
pub struct Gossip {
    /// When the pulls that are waiting for an answer were sent, by nonce.
    pulls: HashMap<u64, Instant>,
    last_nonce: u64,
    /// The version of the own record, and when a pull first carried it.
    announced: Option<(u64, Instant)>,
}

/// The changes that an answer to a pull caused.
#[derive(Debug, Default)]
pub struct PullResult {
    /// Records that were added or replaced.
    pub records: Vec<Record>,
    /// The generation that the sender holds, if it is newer than that of this node, and the digest of
    /// its manifest.
    pub newer: Option<(u64, Vec<u8>)>,
    /// Whether so many buckets differ that the records should be fetched by a call.
    pub needs_sync: bool,
    /// When the pull was sent.
    pub sent: Option<Instant>,
}

impl Gossip {
    /// Creates a pull to be sent at `now`. `recalls` states whether it asks for the departures that earlier
    /// incarnations of this node recorded.
    pub fn create_pull(
        &mut self,
        own: &Record,
        members: &Membership,
        recalls: bool,
        now: Instant,
    ) -> Packet {
        self.pulls
            .retain(|_, sent_at| now < *sent_at + ANSWER_TIMEOUT);
        self.last_nonce += 1;
        self.pulls.insert(self.last_nonce, now);
        let (version, since) = *self.announced.get_or_insert((own.version, now));
        if version != own.version {
            self.announced = Some((own.version, now));
        }
        let announce = version != own.version || now < since + ANNOUNCE_PERIOD;
        Packet {
            body: Some(packet::Body::Pull(Pull {
                nonce: self.last_nonce,
                from: own.vm.clone(),
                digests: members.digests().to_vec(),
                sender: announce.then(|| own.clone()),
                generation: own.generation,
                recalls,
                // The node sets the roll-outs.
                rollouts: Vec::new(),
                reports: Vec::new(),
                // The node sets the demand if requests leave by price.
                demands: Vec::new(),
            })),
        }
    }

    /// Applies an answer to a pull.
    ///
    /// Returns `None` when the answer matches no waiting pull or came too late.
    pub fn apply_answer(
        &mut self,
        news: &News,
        members: &mut Membership,
        fresh: &mut Freshness,
        now: Instant,
    ) -> Option<PullResult> {
        let sent_at = self.pulls.remove(&news.nonce)?;
        if now >= sent_at + ANSWER_TIMEOUT {
            return None;
        }
        let mut result = PullResult {
            sent: Some(sent_at),
            ..PullResult::default()
        };
        for record in &news.records {
            if members.merge(record) {
                result.records.push(record.clone());
            }
        }
        if news.joined && news.generation > fresh.generation() {
            result.newer = Some((news.generation, news.manifest.clone()));
        }
        fresh.record_report(sent_at, &report_of(news), now);
        for extra in &news.extras {
            let age = Duration::from_millis(u64::from(extra.age_ms));
            if let Some(at) = sent_at.checked_sub(age) {
                fresh.record_sighting(&extra.vm, at);
            }
        }
        // The sender is alive whatever generation it holds.
        fresh.record_sighting(&news.from, sent_at);
        fresh.record_holder(&news.from, news.generation, news.joined, now);
        fresh.record_holders(&news.holders, news.roster, news.generation, now);
        result.needs_sync = news.differing > MAX_DIFFERING_BUCKETS;
        Some(result)
    }
}

fn report_of(news: &News) -> FreshnessReport {
    FreshnessReport {
        from: news.from.clone(),
        generation: news.generation,
        joined: news.joined,
        fresh: news.fresh,
        head: news
            .head_age_ms
            .map(|age| (Duration::from_millis(u64::from(age)), news.head_generation)),
        roster: news.roster,
        ages: news.ages.clone(),
    }
}

/// Returns the departures that earlier incarnations of the sender of a pull recorded, if it asks for them.
fn recalled_departures(pull: &Pull, members: &Membership) -> Vec<Departure> {
    match (&pull.sender, pull.recalls) {
        (Some(sender), true) => members.departures(&pull.from, sender.incarnation),
        _ => Vec::new(),
    }
}

/// Returns the records that differ from the sender's. The first one is that of an earlier incarnation of the sender
/// if this node holds it, so that the sender learns what its own record has to replace.
fn records_for(pull: &Pull, members: &mut Membership) -> Vec<Record> {
    let sender = pull.sender.as_ref();
    let held = sender.and_then(|sender| members.get(&sender.vm));
    let earlier = held.filter(|held| sender.is_some_and(|s| s.incarnation != held.incarnation));
    let mut records: Vec<Record> = earlier.cloned().into_iter().collect();
    records.extend(members.differing(&pull.digests, MAX_RECORD_BYTES));
    records
}

/// Creates the answer to a pull, with the records that differ from the sender's.
pub fn answer_pull(
    pull: &Pull,
    incarnation: u64,
    manifest: &[u8],
    members: &mut Membership,
    fresh: &Freshness,
    now: Instant,
) -> Packet {
    let report = fresh.report(now);
    let news = News {
        nonce: pull.nonce,
        from: report.from,
        incarnation,
        generation: report.generation,
        manifest: manifest.to_vec(),
        joined: report.joined,
        fresh: report.fresh,
        head_age_ms: report.head.map(|(age, _)| ceil_millis(age)),
        head_generation: report.head.map_or(0, |(_, g)| g),
        roster: report.roster,
        ages: report.ages,
        extras: extras(fresh, now),
        holders: fresh.holders(),
        differing: members.count_differing(&pull.digests),
        records: records_for(pull, members),
        // The node sets the drains if it has a feed.
        drains_at: 0,
        drained: Vec::new(),
        rollouts: Vec::new(),
        reports: Vec::new(),
        departed: recalled_departures(pull, members),
        // The node sets the timeline if it has a feed.
        timeline: 0,
        // The node sets the demand if requests leave by price.
        demands: Vec::new(),
    };
    Packet {
        body: Some(packet::Body::News(news)),
    }
}

fn extras(fresh: &Freshness, now: Instant) -> Vec<Extra> {
    let mut recent: Vec<(Duration, &str)> = fresh
        .unrostered()
        .map(|(vm, at)| (now.saturating_duration_since(at), vm))
        .filter(|(age, _)| *age < MAX_EXTRA_AGE)
        .collect();
    recent.sort_unstable();
    recent.truncate(MAX_EXTRAS);
    recent
        .into_iter()
        .map(|(age, vm)| Extra {
            vm: vm.to_owned(),
            age_ms: ceil_millis(age),
        })
        .collect()
}

/// Converts to milliseconds, rounded up, so that information never seems more recent than it is.
fn ceil_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX)
}

/// Encodes a packet.
#[must_use]
pub fn encode(packet: &Packet) -> Vec<u8> {
    packet.encode_to_vec()
}

/// Decodes a packet.
///
/// # Errors
/// [`DecodeError`] when the bytes are not a valid packet.
pub fn decode(content: &[u8]) -> Result<Packet, DecodeError> {
    Packet::decode(content)
}
