//! The keeper's side of the rates: slices of buckets that this node keeps and lends from.

use std::{
    collections::HashMap,
    sync::atomic::Ordering::Relaxed,
    time::{Duration, Instant},
};

use crate::{
    fleet::codec::{BorrowRefusal, BorrowReply, BorrowRequest},
    node::Core,
    policy::bucket::{Bucket, LEASE_MARGIN, LEASE_TERM, LeaseId, slice_of, slices},
    proxy::rates::{Rates, lock, slice_key},
};

/// How long an unused bucket stays in memory; by then it is full again or fills from its slice.
const BUCKET_RETENTION: Duration = Duration::from_secs(600);

/// A slice of a partition that this node keeps.
#[derive(Debug, Clone, Copy)]
struct OwnedSlice {
    usable_from: Instant,
    first_owner: bool,
}

struct OwnedBucket {
    bucket: Bucket,
    rate: f64,
    burst: u32,
    used: Instant,
}

#[derive(Default)]
pub(super) struct Ownership {
    slices: HashMap<u32, OwnedSlice>,
    buckets: HashMap<(u32, String), OwnedBucket>,
    closed: bool,
}

impl Rates {
    /// Serves a request for a loan, as keeper.
    pub fn grant_lease(&self, core: &Core, request: &BorrowRequest) -> BorrowReply {
        let refuse = |refusal: BorrowRefusal| {
            self.denials.fetch_add(1, Relaxed);
            BorrowReply {
                refusal: refusal.into(),
                ..BorrowReply::default()
            }
        };
        let mut keeping = lock(&self.ownership);
        // The clock is read after everything that may wait, and the view after the freshness.
        let now = core.clock.now();
        if !core.fresh(now) {
            return refuse(BorrowRefusal::Stale);
        }
        let view = core.view.load_full();
        if view.index.document.fenced(&core.address, core.epoch()) {
            return refuse(BorrowRefusal::Stale);
        }
        let Some(organisation) = view.index.organisation(&request.organisation) else {
            return refuse(BorrowRefusal::NotKeeper);
        };
        let count = slices(organisation.burst, view.index.document.data_centres.len());
        if request.slice >= count {
            return refuse(BorrowRefusal::NotKeeper);
        }
        let key = slice_key(request.slice, &organisation.name);
        let kept = keeping.slices.get(&key).copied();
        let Some(kept) = kept.filter(|k| now >= k.usable_from && !keeping.closed) else {
            return refuse(BorrowRefusal::NotKeeper);
        };
        let (rate, burst) = slice_of(organisation.rate, organisation.burst, count, request.slice);
        let held = keeping
            .buckets
            .entry((request.slice, organisation.name.clone()))
            .or_insert_with(|| OwnedBucket {
                bucket: Bucket::new(rate, burst, kept.first_owner, kept.usable_from),
                rate,
                burst,
                used: now,
            });
        if (held.rate, held.burst) != (rate, burst) {
            held.bucket.reconfigure(rate, burst, now);
            (held.rate, held.burst) = (rate, burst);
        }
        held.used = now;
        apply_request(&mut held.bucket, request, now)
    }

    /// Returns the slices that this node keeps.
    #[must_use]
    pub fn owned_slices(&self) -> Vec<u32> {
        let mut kept: Vec<u32> = lock(&self.ownership).slices.keys().copied().collect();
        kept.sort_unstable();
        kept
    }

    /// Starts to keep a slice; unless it is its first keeper ever, after the terms of old loans.
    pub fn acquire(&self, slice: u32, first: bool, now: Instant) {
        let wait = if first {
            Duration::ZERO
        } else {
            LEASE_TERM + LEASE_MARGIN
        };
        let usable = now + wait;
        lock(&self.ownership)
            .slices
            .entry(slice)
            .or_insert(OwnedSlice {
                usable_from: usable,
                first_owner: first,
            });
    }

    /// Stops keeping some slices; whoever keeps them next starts with empty buckets.
    pub fn release(&self, slices: &[u32]) {
        let mut keeping = lock(&self.ownership);
        keeping.slices.retain(|slice, _| !slices.contains(slice));
        keeping
            .buckets
            .retain(|(slice, name), _| !slices.contains(&slice_key(*slice, name)));
    }

    /// Stops keeping all slices, for good, and returns them.
    pub fn release_all(&self) -> Vec<u32> {
        let mut keeping = lock(&self.ownership);
        keeping.closed = true;
        keeping.buckets.clear();
        keeping.slices.drain().map(|(slice, _)| slice).collect()
    }

    /// Drops buckets that were not used for long, unless they might then start with more.
    pub fn sweep(&self, now: Instant) {
        let mut keeping = lock(&self.ownership);
        keeping
            .buckets
            .retain(|_, b| now < b.used + BUCKET_RETENTION || f64::from(b.burst) > b.rate * 600.0);
    }
}

fn apply_request(bucket: &mut Bucket, request: &BorrowRequest, now: Instant) -> BorrowReply {
    let borrower = request.incarnation;
    for settled in &request.settled {
        let id = LeaseId {
            borrower,
            sequence: settled.sequence,
        };
        let spends: Vec<(u32, Duration)> = settled
            .spent
            .iter()
            .map(|s| (s.amount, Duration::from_micros(u64::from(s.age_us))))
            .collect();
        bucket.settle(id, &spends, now);
    }
    if request.wanted == 0 {
        return BorrowReply::default();
    }
    let id = LeaseId {
        borrower,
        sequence: request.sequence,
    };
    let grant = bucket.grant_lease(id, request.wanted, request.least, now);
    let refusal = if grant.granted > 0 {
        BorrowRefusal::None
    } else {
        BorrowRefusal::Empty
    };
    BorrowReply {
        granted: grant.granted,
        term_ms: u32::try_from(LEASE_TERM.as_millis()).unwrap_or(0),
        due_us: u64::try_from(grant.retry_after.as_micros()).unwrap_or(u64::MAX),
        left: grant.remaining,
        refusal: refusal.into(),
    }
}
