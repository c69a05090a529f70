//! The records of all nodes, and which of them another node lacks.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use crate::{fleet::codec::Record, hash::hash_of};

/// Buckets over which records are spread by address.
pub const BUCKETS: usize = 32;

/// All records, with a digest for each bucket so that only differing buckets travel.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    records: HashMap<String, Record>,
    digests: [u32; BUCKETS],
    rotation: VecDeque<String>,
}

impl Membership {
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

    /// Takes a record in if it is newer than the known one, and tells whether it was.
    pub fn merge(&mut self, record: &Record) -> bool {
        if record.vm.is_empty() {
            return false;
        }
        let known = self.records.get(&record.vm);
        if known.is_some_and(|k| (record.incarnation, record.version) <= (k.incarnation, k.version))
        {
            return false;
        }
        match known {
            Some(known) => self.toggle(&stamp_of(known)),
            None => self.rotation.push_back(record.vm.clone()),
        }
        self.toggle(&stamp_of(record));
        self.records.insert(record.vm.clone(), record.clone());
        true
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: &str) {
        if let Some(record) = self.records.remove(vm) {
            self.toggle(&stamp_of(&record));
            self.rotation.retain(|name| name != vm);
        }
    }

    fn toggle(&mut self, (bucket, stamp): &(usize, u32)) {
        self.digests[*bucket] ^= stamp;
    }

    /// Counts the buckets that differ.
    #[must_use]
    pub fn count_differing(&self, digests: &[u32]) -> u32 {
        let own = self.digests.iter().enumerate();
        let differing = own.filter(|(i, digest)| digests.get(*i) != Some(digest));
        u32::try_from(differing.count()).unwrap_or(u32::MAX)
    }

    /// Returns records of buckets that differ, as many as fit into `room` bytes.
    ///
    /// Each call starts behind the last record of the one before, so that all get their turn.
    pub fn differing(&mut self, digests: &[u32], room: usize) -> Vec<Record> {
        let differs: Vec<bool> = (0..BUCKETS)
            .map(|i| digests.get(i) != Some(&self.digests[i]))
            .collect();
        let mut out = Vec::new();
        if !differs.contains(&true) {
            return out;
        }
        let mut left = room;
        for _ in 0..self.rotation.len() {
            let Some(name) = self.rotation.pop_front() else {
                break;
            };
            let record = &self.records[&name];
            if differs[bucket_of(&name)] {
                let size = record.encoded_len();
                if size > left && !out.is_empty() {
                    self.rotation.push_front(name);
                    break;
                }
                left = left.saturating_sub(size);
                out.push(record.clone());
            }
            self.rotation.push_back(name);
        }
        out
    }
}

fn bucket_of(vm: &str) -> usize {
    #[expect(clippy::cast_possible_truncation)]
    let bucket = (hash_of(&vm) % BUCKETS as u64) as usize;
    bucket
}

fn stamp_of(record: &Record) -> (usize, u32) {
    let stamp = hash_of(&(&record.vm, record.incarnation, record.version));
    #[expect(clippy::cast_possible_truncation)]
    let stamp = stamp as u32;
    (bucket_of(&record.vm), stamp)
}
