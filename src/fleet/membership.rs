//! The records of all nodes, with digests by which two nodes find out where their records differ.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use crate::{
    fleet::codec::{Departure, Record},
    hash::hash_of,
};

/// Number of buckets that records are distributed over by the hash of their address.
pub const BUCKETS: usize = 32;

/// Greatest number of departures that are retained for a VM.
const MAX_RETAINED_DEPARTURES: usize = 8;

/// All records, with a digest for each bucket so that only records of differing buckets are sent.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    records: HashMap<String, Record>,
    digests: [u32; BUCKETS],
    /// VMs in the order in which their records are sent next.
    rotation: VecDeque<String>,
    /// Departures that earlier incarnations of VMs recorded, by VM.
    departed: HashMap<String, Vec<Departure>>,
    own: OwnRun,
}

/// The run of the node that keeps the records.
#[derive(Debug, Clone, Default)]
struct OwnRun {
    vm: String,
    incarnation: u64,
    order: u64,
}

impl Membership {
    /// Creates the records that one incarnation of a node keeps. `order` only has to be a guess, see
    /// [`Membership::own_order`].
    #[must_use]
    pub fn new(vm: &str, incarnation: u64, order: u64) -> Self {
        let vm = vm.to_owned();
        Self {
            own: OwnRun {
                vm,
                incarnation,
                order,
            },
            ..Self::default()
        }
    }

    /// Returns the order of this node's own record: above that of every record of its earlier incarnations which
    /// [`Membership::merge`] has been given, so that other nodes replace those.
    #[must_use]
    pub fn own_order(&self) -> u64 {
        self.own.order
    }

    /// Returns whether this node's own record has to be built again, since other nodes hold a newer one of an
    /// earlier incarnation.
    #[must_use]
    pub fn is_outranked(&self) -> bool {
        self.get(&self.own.vm)
            .is_some_and(|own| own.order < self.own.order)
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn digests(&self) -> &[u32; BUCKETS] {
        &self.digests
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Finds the record of a VM.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&Record> {
        self.records.get(vm)
    }

    /// Stores a record if it is newer than the stored one, and returns whether it was. A record of an earlier
    /// incarnation of this node is never stored.
    pub fn merge(&mut self, record: &Record) -> bool {
        if record.vm.is_empty() {
            return false;
        }
        if record.vm == self.own.vm && record.incarnation != self.own.incarnation {
            self.own.order = self.own.order.max(order_of(record).saturating_add(1));
            return false;
        }
        let old = self.records.get(&record.vm);
        if old.is_some_and(|o| (order_of(record), record.version) <= (order_of(o), o.version)) {
            return false;
        }
        match self.records.remove(&record.vm) {
            Some(old) => {
                self.toggle_stamp(&stamp_of(&old));
                if record.incarnation != old.incarnation {
                    self.retain_departures(old);
                }
            }
            None => self.rotation.push_back(record.vm.clone()),
        }
        self.toggle_stamp(&stamp_of(record));
        self.records.insert(record.vm.clone(), record.clone());
        true
    }

    /// Retains the departures of a VM's record that one of its next incarnation replaces.
    fn retain_departures(&mut self, old: Record) {
        if old.departed.is_empty() {
            return;
        }
        let retained = self.departed.entry(old.vm).or_default();
        retained.retain(|r| old.departed.iter().all(|d| d.target != r.target));
        retained.extend(old.departed);
        let excess = retained.len().saturating_sub(MAX_RETAINED_DEPARTURES);
        retained.drain(..excess);
    }

    /// Returns the departures that earlier incarnations of a VM recorded.
    #[must_use]
    pub fn departures(&self, vm: &str, incarnation: u64) -> Vec<Departure> {
        let retained = self.departed.get(vm).cloned().unwrap_or_default();
        let current = self.get(vm).filter(|r| r.incarnation != incarnation);
        let current = current.map(|r| r.departed.clone()).unwrap_or_default();
        retained.into_iter().chain(current).collect()
    }

    /// Removes the record of a VM.
    pub fn remove(&mut self, vm: &str) {
        self.departed.remove(vm);
        if let Some(record) = self.records.remove(vm) {
            self.toggle_stamp(&stamp_of(&record));
            self.rotation.retain(|name| name != vm);
        }
    }

    /// Includes a record's stamp in the digest of its bucket, or removes it if it is included.
    fn toggle_stamp(&mut self, (bucket, stamp): &(usize, u32)) {
        self.digests[*bucket] ^= stamp;
    }

    /// Counts the buckets whose digest differs from the given one.
    #[must_use]
    pub fn count_differing(&self, digests: &[u32]) -> u32 {
        let own = self.digests.iter().enumerate();
        let differing = own.filter(|(i, digest)| digests.get(*i) != Some(digest));
        u32::try_from(differing.count()).unwrap_or(u32::MAX)
    }

    /// Returns records of the buckets whose digest differs from the given one: as many as fit into
    /// `limit` bytes, but at least one.
    ///
    /// Each call starts after the last record that the previous call returned, so that repeated
    /// calls cover all records.
    pub fn differing(&mut self, digests: &[u32], limit: usize) -> Vec<Record> {
        let differs: Vec<bool> = (0..BUCKETS)
            .map(|i| digests.get(i) != Some(&self.digests[i]))
            .collect();
        let mut found = Vec::new();
        if !differs.contains(&true) {
            return found;
        }
        let mut remaining = limit;
        for _ in 0..self.rotation.len() {
            let Some(name) = self.rotation.pop_front() else {
                break;
            };
            let record = &self.records[&name];
            if differs[bucket_of(&name)] {
                let size = record.encoded_len();
                if size > remaining && !found.is_empty() {
                    self.rotation.push_front(name);
                    break;
                }
                remaining = remaining.saturating_sub(size);
                found.push(record.clone());
            }
            self.rotation.push_back(name);
        }
        found
    }
}

/// Returns the number by which the records of successive incarnations are ordered.
fn order_of(record: &Record) -> u64 {
    match record.order {
        0 => record.incarnation,
        order => order,
    }
}

fn bucket_of(vm: &str) -> usize {
    #[expect(clippy::cast_possible_truncation)]
    let bucket = (hash_of(&vm) % BUCKETS as u64) as usize;
    bucket
}

/// Returns the bucket of a record, and the hash by which the record contributes to its digest.
fn stamp_of(record: &Record) -> (usize, u32) {
    let stamp = hash_of(&(&record.vm, record.incarnation, record.order, record.version));
    #[expect(clippy::cast_possible_truncation)]
    let stamp = stamp as u32;
    (bucket_of(&record.vm), stamp)
}
