//! The owner's side of rate limits: the slices of buckets that this node owns and leases tokens from.

use std::{
    collections::HashMap,
    sync::atomic::Ordering::Relaxed,
    time::{Duration, Instant},
};

use crate::{
    fleet::codec::{BorrowRefusal, BorrowReply, BorrowRequest},
    node::Core,
    policy::bucket::{Bucket, LEASE_MARGIN, LEASE_TERM, LeaseId, slice_count, slice_size},
    proxy::rates::{Rates, lock, slice_key},
};

/// How long an unused bucket stays in memory. By then it is full, so that a new bucket in its place
/// can't hold more tokens; [`Rates::sweep`] keeps those that take longer to fill.
const BUCKET_RETENTION: Duration = Duration::from_secs(600);

/// A slice of a partition that this node owns.
#[derive(Debug, Clone, Copy)]
struct OwnedSlice {
    usable_from: Instant,
    /// Whether the slice had no owner before, so that its buckets start full.
    first_owner: bool,
}

/// The bucket of one organisation in an owned slice.
struct OwnedBucket {
    bucket: Bucket,
    rate: f64,
    burst: u32,
    /// Time of the last request.
    used: Instant,
}

/// The slices that this node owns, and their buckets.
#[derive(Default)]
pub(super) struct Ownership {
    slices: HashMap<u32, OwnedSlice>,
    buckets: HashMap<(u32, String), OwnedBucket>,
    /// Whether all requests for leases are refused.
    closed: bool,
}

impl Rates {
    /// Settles the reported leases and grants the requested one as the owner of a slice. Refuses the
    /// request if this node doesn't own the slice or must not grant leases.
    pub fn serve_lease_request(&self, core: &Core, request: &BorrowRequest) -> BorrowReply {
        let refuse = |refusal: BorrowRefusal| {
            self.denials.fetch_add(1, Relaxed);
            BorrowReply {
                refusal: refusal.into(),
                ..BorrowReply::default()
            }
        };
        let mut ownership = lock(&self.ownership);
        // The clock is read after everything that may block, and the view after the freshness check.
        let now = core.clock.now();
        if !core.is_fresh(now) {
            return refuse(BorrowRefusal::Stale);
        }
        let view = core.view.load_full();
        if view.index.document.is_fenced(&core.address, core.epoch()) {
            return refuse(BorrowRefusal::Stale);
        }
        let Some(organisation) = view.index.organisation(&request.organisation) else {
            return refuse(BorrowRefusal::NotKeeper);
        };
        let count = slice_count(organisation.burst, view.index.document.data_centres.len());
        if request.slice >= count {
            return refuse(BorrowRefusal::NotKeeper);
        }
        let key = slice_key(request.slice, &organisation.name);
        let slice = ownership.slices.get(&key).copied();
        let Some(slice) = slice.filter(|s| now >= s.usable_from && !ownership.closed) else {
            return refuse(BorrowRefusal::NotKeeper);
        };
        let (rate, burst) = slice_size(organisation.rate, organisation.burst, count, request.slice);
        let owned = ownership
            .buckets
            .entry((request.slice, organisation.name.clone()))
            .or_insert_with(|| OwnedBucket {
                bucket: Bucket::new(rate, burst, slice.first_owner, slice.usable_from),
                rate,
                burst,
                used: now,
            });
        if (owned.rate, owned.burst) != (rate, burst) {
            owned.bucket.reconfigure(rate, burst, now);
            (owned.rate, owned.burst) = (rate, burst);
        }
        owned.used = now;
        apply_request(&mut owned.bucket, request, now)
    }

    /// Returns the slices that this node owns, in order.
    #[must_use]
    pub fn owned_slices(&self) -> Vec<u32> {
        let mut slices: Vec<u32> = lock(&self.ownership).slices.keys().copied().collect();
        slices.sort_unstable();
        slices
    }

    /// Acquires a slice. If it had an owner before, it is usable only after the leases that its earlier
    /// owners granted have expired.
    pub fn acquire(&self, slice: u32, first_owner: bool, now: Instant) {
        let wait = if first_owner {
            Duration::ZERO
        } else {
            LEASE_TERM + LEASE_MARGIN
        };
        let usable_from = now + wait;
        lock(&self.ownership)
            .slices
            .entry(slice)
            .or_insert(OwnedSlice {
                usable_from,
                first_owner,
            });
    }

    /// Releases slices. Their next owner starts with empty buckets.
    pub fn release(&self, slices: &[u32]) {
        let mut ownership = lock(&self.ownership);
        ownership.slices.retain(|slice, _| !slices.contains(slice));
        ownership
            .buckets
            .retain(|(slice, name), _| !slices.contains(&slice_key(*slice, name)));
    }

    /// Releases all slices, refuses all further requests for leases, and returns the slices.
    pub fn release_all(&self) -> Vec<u32> {
        let mut ownership = lock(&self.ownership);
        ownership.closed = true;
        ownership.buckets.clear();
        ownership.slices.drain().map(|(slice, _)| slice).collect()
    }

    /// Drops buckets that have not been used for ten minutes. One that takes longer than that to
    /// fill is kept, since a new bucket in its place could hold more tokens.
    pub fn sweep(&self, now: Instant) {
        let mut ownership = lock(&self.ownership);
        ownership
            .buckets
            .retain(|_, b| now < b.used + BUCKET_RETENTION || f64::from(b.burst) > b.rate * 600.0);
    }
}

/// Settles the reported leases and grants the requested one.
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
