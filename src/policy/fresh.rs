//! Freshness: whether a node may start keyed or rate-limited work.
//!
//! A node is fresh if it has a record, not older than [`FRESH_FOR`], of a read of the head that
//! found no newer generation than its own, or of contacts, direct or reported by other nodes, with
//! a quorum of the roster of which none held a newer generation. Once a quorum holds a generation,
//! every node that doesn't hold it stops being fresh within [`FRESH_FOR`]: any two quorums share a
//! VM, and later reports of that VM don't count for the older generation. docs/DESIGN.md has the
//! whole argument, and tests/freshness.rs a model of it.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{hash::hash_of, policy::roster::quorum};

/// How long a read of the head or a contact keeps a node fresh.
pub const FRESH_FOR: Duration = Duration::from_secs(4);

/// Time waited in addition to [`FRESH_FOR`] because clocks run at different rates.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Steps into which [`FRESH_FOR`] is divided to encode an age in four bits.
const AGE_STEPS: u32 = 14;

/// Encodes that there was no contact, or that it is longer ago than the steps cover.
const NO_AGE: u8 = 15;

data! {
    /// A node's report of its own state and of its contacts with the roster.
    pub struct FreshnessReport {
        /// The sender's address.
        pub from: String,
        /// The generation that the sender holds. The VMs in `ages` held no newer one.
        pub generation: u64,
        /// Whether the sender counts for other nodes, see [`Freshness::joined`].
        pub joined: bool,
        /// Whether the sender was fresh.
        pub fresh: bool,
        /// Age of the newest known read of the head, and the generation that it found.
        pub head: Option<(Duration, u64)>,
        /// Hash of the roster to which the ages refer.
        pub roster: u32,
        /// Ages of the last contact with each VM of the roster, in its order, four bits each.
        pub ages: Vec<u8>,
    }
}

/// The state from which a node derives its freshness.
#[derive(Debug, Clone)]
pub struct Freshness {
    own: String,
    started: Instant,
    generation: u64,
    joined: bool,
    roster: Arc<[String]>,
    roster_id: u32,
    /// Index in the roster of each of its VMs.
    positions: HashMap<String, usize>,
    /// Last contact with each VM of the roster that counts for freshness.
    reported: Vec<Option<Instant>>,
    /// When each VM of the roster was last alive, which doesn't count for freshness.
    sighted: Vec<Option<Instant>>,
    /// When each known VM outside the roster was last alive.
    unrostered: HashMap<String, Instant>,
    /// Time of the newest known read of the head, and the generation that it found.
    head: Option<(Instant, u64)>,
    /// VMs of the roster that are known to hold this generation or a newer one.
    holders: HashSet<String>,
    /// Since when the holders have been a quorum.
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a node that holds no configuration yet.
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

    /// Makes the node count for others at once, for deployments whose configurations have no roster.
    /// Freshness then derives from reads of the head alone, by this node or reported by others.
    ///
    /// This is meant for a linearizable store with writers other than nodes. There, contact with a
    /// quorum proves nothing, and a restarted node needn't wait, since the age of a read is
    /// sufficient.
    pub fn use_head_reads_only(&mut self) {
        self.joined = true;
    }

    /// Returns the age of the newest known read of the head.
    #[must_use]
    pub fn head_age(&self, now: Instant) -> Option<Duration> {
        self.head.map(|(at, _)| now.saturating_duration_since(at))
    }

    /// Returns the generation that the node holds; 0 for none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns when the node started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns whether the node counts for the freshness of others.
    ///
    /// A restarted node has no record of the generations that it confirmed before. It counts once it
    /// has read the head, or once it holds the generation of a fresh node's report that it requested
    /// no earlier than [`FRESH_FOR`] and [`CLOCK_MARGIN`] after its own start.
    #[must_use]
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Returns the hash of the roster to which ages refer.
    #[must_use]
    pub fn roster_id(&self) -> u32 {
        self.roster_id
    }

    /// Returns the roster.
    #[must_use]
    pub fn roster(&self) -> &Arc<[String]> {
        &self.roster
    }

    /// Installs a generation. One that is not newer than the current one is ignored.
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
        let mut contacts = std::mem::take(&mut self.unrostered);
        for (vm, at) in self.roster.iter().zip(&self.reported) {
            if let Some(at) = at {
                contacts.insert(vm.clone(), *at);
            }
        }
        self.roster = roster.into();
        self.roster_id = roster_hash(roster);
        self.positions = roster
            .iter()
            .enumerate()
            .map(|(i, vm)| (vm.clone(), i))
            .collect();
        self.reported = roster.iter().map(|vm| contacts.remove(vm)).collect();
        self.sighted = vec![None; self.reported.len()];
        self.unrostered = contacts;
    }

    /// Records a read of the head by this node, whose request was sent at `sent`.
    pub fn record_own_read(&mut self, sent: Instant, generation: u64, now: Instant) {
        self.record_read(sent, generation);
        if generation <= self.generation {
            self.joined = true;
            self.record_self(now);
        }
    }

    fn record_read(&mut self, at: Instant, generation: u64) {
        // Such a read proves no freshness, and would replace an older one that still does.
        if generation > self.generation {
            return;
        }
        if self.head.is_none_or(|(last, _)| last < at) {
            self.head = Some((at, generation));
        }
    }

    /// Records the report that answers a pull, whose request was sent at `sent`.
    pub fn record_report(&mut self, sent: Instant, report: &FreshnessReport, now: Instant) {
        if !report.joined {
            return;
        }
        if let Some((age, generation)) = report.head
            && let Some(at) = sent.checked_sub(age)
        {
            self.record_read(at, generation);
        }
        if report.generation > self.generation {
            return;
        }
        let waited = sent >= self.started + FRESH_FOR + CLOCK_MARGIN;
        if report.fresh && waited && report.generation == self.generation {
            self.joined = true;
            self.record_self(now);
        }
        self.record_contact(&report.from, sent);
        if report.roster != self.roster_id {
            return;
        }
        for i in 0..self.reported.len() {
            let Some(at) = age_at(&report.ages, i).and_then(|age| sent.checked_sub(age)) else {
                continue;
            };
            if self.reported[i].is_none_or(|last| last < at) {
                self.reported[i] = Some(at);
            }
        }
    }

    fn record_contact(&mut self, vm: &str, at: Instant) {
        let contact = match self.positions.get(vm) {
            Some(i) => &mut self.reported[*i],
            None => {
                let contact = self.unrostered.entry(vm.to_owned()).or_insert(at);
                *contact = (*contact).max(at);
                return;
            }
        };
        if contact.is_none_or(|last| last < at) {
            *contact = Some(at);
        }
    }

    /// Records that a VM was alive at `at`, which affects routing but not freshness.
    ///
    /// Contacts with VMs of the roster that count for freshness come from
    /// [`Freshness::record_report`] alone, since reports contain the generations that they held.
    pub fn record_sighting(&mut self, vm: &str, at: Instant) {
        if !self.positions.contains_key(vm) && vm != self.own {
            self.record_contact(vm, at);
            return;
        }
        if let Some(i) = self.positions.get(vm) {
            let contact = &mut self.sighted[*i];
            if contact.is_none_or(|last| last < at) {
                *contact = Some(at);
            }
        }
    }

    /// Returns the known VMs outside the roster, and when each was last known to be alive.
    pub fn unrostered(&self) -> impl Iterator<Item = (&str, Instant)> {
        self.unrostered.iter().map(|(vm, at)| (vm.as_str(), *at))
    }

    /// Records that a VM holds a generation, for [`Freshness::confirmed`]. Counts only joined VMs
    /// of the roster that hold this node's generation or a newer one.
    pub fn record_holder(&mut self, vm: &str, generation: u64, joined: bool, now: Instant) {
        let is_counted = joined && generation >= self.generation && self.positions.contains_key(vm);
        if !is_counted || self.generation == 0 || !self.holders.insert(vm.to_owned()) {
            return;
        }
        if self.confirmed.is_none() && self.holders.len() >= quorum(self.roster.len()) {
            self.confirmed = Some(now);
        }
    }

    /// Records which VMs of the roster hold a generation according to another node, whose bit map is as
    /// returned by [`Freshness::holders`].
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

    /// Returns a bit map of the roster's VMs that are known to hold this generation or a newer one.
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

    /// Returns whether a VM of the roster is known to hold this generation or a newer one.
    #[must_use]
    pub fn is_holder(&self, vm: &str) -> bool {
        self.holders.contains(vm)
    }

    fn record_self(&mut self, now: Instant) {
        let own = self.own.clone();
        self.record_holder(&own, self.generation, self.joined, now);
    }

    /// Returns whether the newest known generation is newer than the held one, and may have existed for as long as
    /// `bound`: the newest read that didn't find it is that old.
    #[must_use]
    pub fn is_overdue(&self, newest: u64, bound: Duration, now: Instant) -> bool {
        let outdated = newest > self.generation;
        outdated && self.head_age(now).is_none_or(|age| age >= bound)
    }

    /// Returns since when a quorum has been known to hold this generation; `None` if none is.
    #[must_use]
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns whether the held generation is in force, so that no node starts work under an older one
    /// any more.
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

    /// Returns whether keyed and rate-limited work may start.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns when the node stops being fresh if nothing more is recorded.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        if !self.joined || self.generation == 0 {
            return None;
        }
        let head = self.head.map(|(at, _)| at);
        head.max(self.quorum_contact()).map(|at| at + FRESH_FOR)
    }

    /// Returns the newest instant since which a quorum has been contacted, where the node itself always
    /// counts. `None` if too few VMs were contacted or if no other VM is needed for a quorum.
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

    /// Creates the report to send at `now`.
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

/// Encodes an age, rounded up to whole steps so that a contact never seems more recent than it is.
fn age_code(age: Duration) -> u8 {
    let steps = age.as_nanos().div_ceil(age_step().as_nanos());
    u8::try_from(steps).unwrap_or(NO_AGE).min(NO_AGE)
}

/// Decodes the age of the contact with the VM at index `i` of the roster.
fn age_at(ages: &[u8], i: usize) -> Option<Duration> {
    let code = (ages.get(i / 2)? >> (4 * (i % 2))) & 0x0f;
    (code != NO_AGE).then(|| age_step() * u32::from(code))
}

fn roster_hash(roster: &[String]) -> u32 {
    #[expect(clippy::cast_possible_truncation)]
    let id = hash_of(roster) as u32;
    id
}
