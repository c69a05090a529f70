//! Freshness: whether a node may start keyed or limited work.
//!
//! A node is fresh while, within the last [`FRESH_FOR`], it knows of a read of the head that found
//! no newer generation than its own, or has news of a quorum of the roster, each of which then held
//! no newer generation. Once a quorum holds a generation, every node that does not hold it has
//! stopped [`FRESH_FOR`] later: the two quorums share a VM, whose later news can't count for the
//! older generation. docs/DESIGN.md has the whole argument, tests/freshness.rs the model.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{hash::hash_of, policy::roster::quorum};

/// How long news keeps a node fresh.
pub const FRESH_FOR: Duration = Duration::from_secs(4);

/// How much longer than [`FRESH_FOR`] is waited for clocks that run at different rates.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Steps of an age that travels in a half byte.
const AGE_STEPS: u32 = 14;
const NO_AGE: u8 = 15;

data! {
    /// News that one node sends of itself and of all it heard.
    pub struct FreshnessReport {
        /// The sender's address.
        pub from: String,
        /// The generation the sender holds; whoever it has news of held no newer one.
        pub generation: u64,
        /// Whether the sender counts, see [`Freshness::joined`].
        pub joined: bool,
        /// Whether the sender was fresh.
        pub fresh: bool,
        /// Age of a read of the head and the generation it found.
        pub head: Option<(Duration, u64)>,
        /// Which roster the ages follow.
        pub roster: u32,
        /// One half byte a VM of the roster, in its order.
        pub ages: Vec<u8>,
    }
}

/// What a node knows that bears on its freshness.
#[derive(Debug, Clone)]
pub struct Freshness {
    own: String,
    started: Instant,
    generation: u64,
    joined: bool,
    roster: Arc<[String]>,
    roster_id: u32,
    positions: HashMap<String, usize>,
    reported: Vec<Option<Instant>>,
    sighted: Vec<Option<Instant>>,
    unrostered: HashMap<String, Instant>,
    head: Option<(Instant, u64)>,
    holders: HashSet<String>,
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Starts with no configuration.
    #[must_use]
    pub fn new(own: &str, started: Instant) -> Self {
        Self {
            own: own.to_owned(),
            started,
            generation: 0,
            joined: false,
            roster: Arc::from([]),
            roster_id: 0,
            positions: HashMap::new(),
            reported: Vec::new(),
            sighted: Vec::new(),
            unrostered: HashMap::new(),
            head: None,
            holders: HashSet::new(),
            confirmed: None,
        }
    }

    /// Counts reads of the head alone, own ones and relayed ones.
    ///
    /// Where the store is linearizable and others than nodes write to it, news of a quorum proves
    /// nothing, and a restarted node needs no waiting: the age of a read says it all.
    pub fn use_head_reads_only(&mut self) {
        self.joined = true;
    }

    /// Returns how old the newest read of the head is that is known of.
    #[must_use]
    pub fn head_age(&self, now: Instant) -> Option<Duration> {
        self.head.map(|(at, _)| now.saturating_duration_since(at))
    }

    /// Returns the generation that is held; 0 for none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns when the node started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Tells whether the node counts for others.
    ///
    /// A restarted node has forgotten what it confirmed. It counts again once it has read the head,
    /// or has taken its generation, [`FRESH_FOR`] after its start, from a node that is fresh then.
    #[must_use]
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Returns which roster ages follow.
    #[must_use]
    pub fn roster_id(&self) -> u32 {
        self.roster_id
    }

    /// Returns the roster.
    #[must_use]
    pub fn roster(&self) -> &Arc<[String]> {
        &self.roster
    }

    /// Takes up a generation; an older one than held is ignored.
    pub fn install(&mut self, generation: u64, roster: &[String], now: Instant) {
        if generation <= self.generation {
            return;
        }
        self.generation = generation;
        self.holders.clear();
        self.confirmed = None;
        if *self.roster != *roster {
            self.replace_roster(roster);
        }
        if self
            .head
            .is_some_and(|(at, g)| g <= generation && at >= self.started)
        {
            self.joined = true;
        }
        self.record_self(now);
    }

    fn replace_roster(&mut self, roster: &[String]) {
        let mut known = std::mem::take(&mut self.unrostered);
        for (vm, at) in self.roster.iter().zip(&self.reported) {
            if let Some(at) = at {
                known.insert(vm.clone(), *at);
            }
        }
        self.roster = roster.into();
        self.roster_id = roster_hash(roster);
        self.positions = roster
            .iter()
            .enumerate()
            .map(|(i, vm)| (vm.clone(), i))
            .collect();
        self.reported = roster.iter().map(|vm| known.remove(vm)).collect();
        self.sighted = vec![None; self.reported.len()];
        self.unrostered = known;
    }

    /// Takes up a read of the head by this node, whose request was sent at `sent`.
    pub fn record_own_read(&mut self, sent: Instant, generation: u64, now: Instant) {
        self.record_read(sent, generation);
        if generation <= self.generation {
            self.joined = true;
            self.record_self(now);
        }
    }

    fn record_read(&mut self, at: Instant, generation: u64) {
        // A read that found a newer generation would hide an older read that still counts.
        if generation > self.generation {
            return;
        }
        if self.head.is_none_or(|(known, _)| known < at) {
            self.head = Some((at, generation));
        }
    }

    /// Takes up an answer to a pull that was sent at `sent`.
    pub fn record_report(&mut self, sent: Instant, news: &FreshnessReport, now: Instant) {
        if !news.joined {
            return;
        }
        if let Some((age, generation)) = news.head
            && let Some(at) = sent.checked_sub(age)
        {
            self.record_read(at, generation);
        }
        if news.generation > self.generation {
            return;
        }
        let waited = sent >= self.started + FRESH_FOR + CLOCK_MARGIN;
        if news.fresh && waited && news.generation == self.generation {
            self.joined = true;
            self.record_self(now);
        }
        self.record_contact(&news.from, sent);
        if news.roster != self.roster_id {
            return;
        }
        for i in 0..self.reported.len() {
            let Some(at) = age_at(&news.ages, i).and_then(|age| sent.checked_sub(age)) else {
                continue;
            };
            if self.reported[i].is_none_or(|known| known < at) {
                self.reported[i] = Some(at);
            }
        }
    }

    fn record_contact(&mut self, vm: &str, at: Instant) {
        let slot = match self.positions.get(vm) {
            Some(i) => &mut self.reported[*i],
            None => {
                let slot = self.unrostered.entry(vm.to_owned()).or_insert(at);
                *slot = (*slot).max(at);
                return;
            }
        };
        if slot.is_none_or(|known| known < at) {
            *slot = Some(at);
        }
    }

    /// Takes up that a VM was seen alive, which bears on routing but not on freshness.
    ///
    /// VMs of the roster are left to [`Freshness::hear`], whose news says what they held.
    pub fn record_sighting(&mut self, vm: &str, at: Instant) {
        if !self.positions.contains_key(vm) && vm != self.own {
            self.record_contact(vm, at);
            return;
        }
        if let Some(i) = self.positions.get(vm) {
            let slot = &mut self.sighted[*i];
            if slot.is_none_or(|known| known < at) {
                *slot = Some(at);
            }
        }
    }

    /// Returns the VMs outside the roster that were heard of, and when.
    pub fn unrostered(&self) -> impl Iterator<Item = (&str, Instant)> {
        self.unrostered.iter().map(|(vm, at)| (vm.as_str(), *at))
    }

    /// Takes up that a VM was known to hold a generation, for [`Freshness::confirmed`].
    pub fn record_holder(&mut self, vm: &str, generation: u64, joined: bool, now: Instant) {
        let counts = joined && generation >= self.generation && self.positions.contains_key(vm);
        if !counts || self.generation == 0 || !self.holders.insert(vm.to_owned()) {
            return;
        }
        if self.confirmed.is_none() && self.holders.len() >= quorum(self.roster.len()) {
            self.confirmed = Some(now);
        }
    }

    /// Takes up which VMs of the roster another node knows to hold its generation.
    pub fn record_holders(&mut self, holders: &[u8], roster: u32, generation: u64, now: Instant) {
        if roster != self.roster_id || generation < self.generation {
            return;
        }
        let vms = Arc::clone(&self.roster);
        for (i, vm) in vms.iter().enumerate() {
            let held = holders.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
            if held && !self.holders.contains(vm) {
                self.record_holder(vm, generation, true, now);
            }
        }
    }

    /// Returns one bit a VM of the roster: whether it is known to hold this generation.
    #[must_use]
    pub fn holders(&self) -> Vec<u8> {
        let mut bits = vec![0; self.roster.len().div_ceil(8)];
        for vm in &self.holders {
            if let Some(i) = self.positions.get(vm) {
                bits[i / 8] |= 1 << (i % 8);
            }
        }
        bits
    }

    /// Tells whether a VM is known to hold this generation.
    #[must_use]
    pub fn is_holder(&self, vm: &str) -> bool {
        self.holders.contains(vm)
    }

    fn record_self(&mut self, now: Instant) {
        let own = self.own.clone();
        self.record_holder(&own, self.generation, self.joined, now);
    }

    /// Returns since when a quorum is known to hold this generation.
    #[must_use]
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Tells whether the held generation is in force: no node starts work against it any more.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> bool {
        self.confirmed
            .is_some_and(|at| now >= at + FRESH_FOR + CLOCK_MARGIN)
    }

    /// Returns when a VM was last known to be alive.
    #[must_use]
    pub fn last_alive(&self, vm: &str) -> Option<Instant> {
        match self.positions.get(vm) {
            Some(i) => self.reported[*i].max(self.sighted[*i]),
            None => self.unrostered.get(vm).copied(),
        }
    }

    /// Tells whether keyed and limited work may start.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns until when the node is fresh if it hears nothing more.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        if !self.joined || self.generation == 0 {
            return None;
        }
        let head = self.head.map(|(at, _)| at);
        head.max(self.quorum_contact()).map(|at| at + FRESH_FOR)
    }

    /// Returns the newest instant after which a quorum was heard of; the node itself counts always.
    fn quorum_contact(&self) -> Option<Instant> {
        let own = self.positions.get(&self.own);
        let needed = quorum(self.roster.len()).checked_sub(usize::from(own.is_some()))?;
        let others = self
            .reported
            .iter()
            .enumerate()
            .filter(|(i, _)| Some(i) != own);
        let mut times: Vec<Instant> = others.filter_map(|(_, at)| *at).collect();
        if needed == 0 || times.len() < needed {
            return None;
        }
        let (_, at, _) = times.select_nth_unstable_by(needed - 1, |a, b| b.cmp(a));
        Some(*at)
    }

    /// Writes the news to send at `now`.
    #[must_use]
    pub fn report(&self, now: Instant) -> FreshnessReport {
        let own = self.positions.get(&self.own);
        let mut ages = vec![0xff; self.reported.len().div_ceil(2)];
        for (i, at) in self.reported.iter().enumerate() {
            let at = if Some(&i) == own { Some(now) } else { *at };
            let age = at.map_or(NO_AGE, |at| age_code(now.saturating_duration_since(at)));
            let shift = 4 * (i % 2);
            ages[i / 2] = (ages[i / 2] & !(0x0f << shift)) | (age << shift);
        }
        FreshnessReport {
            from: self.own.clone(),
            generation: self.generation,
            joined: self.joined,
            fresh: self.is_fresh(now),
            head: self
                .head
                .map(|(at, g)| (now.saturating_duration_since(at), g)),
            roster: self.roster_id,
            ages,
        }
    }
}

fn age_step() -> Duration {
    FRESH_FOR / AGE_STEPS
}

/// Rounds an age up to whole steps, so that news never looks fresher than it is.
fn age_code(age: Duration) -> u8 {
    let steps = age.as_nanos().div_ceil(age_step().as_nanos());
    u8::try_from(steps).unwrap_or(NO_AGE).min(NO_AGE)
}

fn age_at(ages: &[u8], i: usize) -> Option<Duration> {
    let code = (ages.get(i / 2)? >> (4 * (i % 2))) & 0x0f;
    (code != NO_AGE).then(|| age_step() * u32::from(code))
}

fn roster_hash(roster: &[String]) -> u32 {
    #[expect(clippy::cast_possible_truncation)]
    let id = hash_of(roster) as u32;
    id
}
