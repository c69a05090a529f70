//! Gossip: what to pull, what to answer, and what to make of an answer. Sockets are elsewhere.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use prost::{DecodeError, Message};

use crate::{
    fleet::{
        Membership,
        codec::{Extra, News, Packet, Pull, Record, packet},
    },
    policy::fresh::{Freshness, FreshnessReport},
};

/// How long an answer to a pull is waited for.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// Bytes of records in one answer, so that a datagram fits an ordinary network.
const RECORD_ROOM: usize = 700;

/// Buckets that differ beyond this number are made up for by a call instead of datagrams.
const FAR_BUCKETS: u32 = 4;

/// How long a node's own changed record goes out with its pulls.
const ANNOUNCE_FOR: Duration = Duration::from_secs(3);

/// VMs outside the roster whose ages go into one answer.
const MOST_EXTRAS: usize = 40;

/// Ages of VMs outside the roster above this are not passed on.
const OLDEST_EXTRA: Duration = Duration::from_secs(4);

/// Pulls that are under way, and what answers bring.
#[derive(Debug, Default)]
pub struct Gossip {
    pulls: HashMap<u64, Instant>,
    next: u64,
    announced: Option<(u64, Instant)>,
}

/// What an answer brought.
#[derive(Debug, Default)]
pub struct Learned {
    /// Records that are new, in place or changed.
    pub records: Vec<Record>,
    /// A newer generation that the sender holds, with the digest of its manifest.
    pub newer: Option<(u64, Vec<u8>)>,
    /// Whether so many records are missing that they are worth a call.
    pub far: bool,
}

impl Gossip {
    /// Writes a pull to be sent at `now`.
    pub fn pull(&mut self, own: &Record, members: &Membership, now: Instant) -> Packet {
        self.pulls.retain(|_, sent| now < *sent + ANSWER_WITHIN);
        self.next += 1;
        self.pulls.insert(self.next, now);
        let (version, since) = *self.announced.get_or_insert((own.version, now));
        if version != own.version {
            self.announced = Some((own.version, now));
        }
        let new = version != own.version || now < since + ANNOUNCE_FOR;
        Packet {
            body: Some(packet::Body::Pull(Pull {
                nonce: self.next,
                from: own.vm.clone(),
                digests: members.digests().to_vec(),
                sender: new.then(|| own.clone()),
                generation: own.generation,
            })),
        }
    }

    /// Takes an answer up; one that nobody waits for is ignored.
    pub fn learn(
        &mut self,
        news: &News,
        members: &mut Membership,
        fresh: &mut Freshness,
        now: Instant,
    ) -> Option<Learned> {
        let sent = self.pulls.remove(&news.nonce)?;
        if now >= sent + ANSWER_WITHIN {
            return None;
        }
        let mut learned = Learned::default();
        for record in &news.records {
            if members.merge(record) {
                learned.records.push(record.clone());
            }
        }
        if news.joined && news.generation > fresh.generation() {
            learned.newer = Some((news.generation, news.manifest.clone()));
        }
        fresh.record_report(sent, &heard_of(news), now);
        for extra in &news.extras {
            let age = Duration::from_millis(u64::from(extra.age_ms));
            if let Some(at) = sent.checked_sub(age) {
                fresh.record_sighting(&extra.vm, at);
            }
        }
        // That the sender is alive does not depend on what it holds.
        fresh.record_sighting(&news.from, sent);
        fresh.record_holder(&news.from, news.generation, news.joined, now);
        fresh.record_holders(&news.holders, news.roster, news.generation, now);
        learned.far = news.differing > FAR_BUCKETS;
        Some(learned)
    }
}

fn heard_of(news: &News) -> FreshnessReport {
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

/// Writes the answer to a pull.
pub fn answer(
    pull: &Pull,
    incarnation: u64,
    manifest: &[u8],
    members: &mut Membership,
    fresh: &Freshness,
    now: Instant,
) -> Packet {
    let heard = fresh.report(now);
    let news = News {
        nonce: pull.nonce,
        from: heard.from,
        incarnation,
        generation: heard.generation,
        manifest: manifest.to_vec(),
        joined: heard.joined,
        fresh: heard.fresh,
        head_age_ms: heard.head.map(|(age, _)| millis_up(age)),
        head_generation: heard.head.map_or(0, |(_, g)| g),
        roster: heard.roster,
        ages: heard.ages,
        extras: extras(fresh, now),
        holders: fresh.holders(),
        differing: members.count_differing(&pull.digests),
        records: members.differing(&pull.digests, RECORD_ROOM),
        drains_at: 0,
        drained: Vec::new(),
    };
    Packet {
        body: Some(packet::Body::News(news)),
    }
}

fn extras(fresh: &Freshness, now: Instant) -> Vec<Extra> {
    let mut recent: Vec<(Duration, &str)> = fresh
        .unrostered()
        .map(|(vm, at)| (now.saturating_duration_since(at), vm))
        .filter(|(age, _)| *age < OLDEST_EXTRA)
        .collect();
    recent.sort_unstable();
    recent.truncate(MOST_EXTRAS);
    recent
        .into_iter()
        .map(|(age, vm)| Extra {
            vm: vm.to_owned(),
            age_ms: millis_up(age),
        })
        .collect()
}

/// Rounds up, so that news never looks fresher than it is.
fn millis_up(age: Duration) -> u32 {
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
/// [`DecodeError`] when the bytes are no packet.
pub fn decode(content: &[u8]) -> Result<Packet, DecodeError> {
    Packet::decode(content)
}
