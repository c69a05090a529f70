//! The owner's side of rate limits: one slice of an organisation's token bucket, from which tokens are
//! leased.
//!
//! Leased tokens count against the burst until they are reported as spent or their term is over, so
//! lost or repeated messages and crashes can only lose tokens, never create any; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#rates).

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Thousandths in a token. Leases are counted in them, so that fractions left in several slices add up
/// to whole tokens.
pub const TOKEN: u32 = 1_000;

/// How long a borrower may spend the tokens of a lease, counted from when it sent its request.
pub const LEASE_TERM: Duration = Duration::from_millis(200);

/// How much longer than [`LEASE_TERM`] the owner counts a lease as outstanding.
pub const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// How long a borrower counts as active after a request.
const BORROWER_ACTIVE_FOR: Duration = Duration::from_secs(1);

/// With several active borrowers, one lease may take the remaining tokens divided by this and by the
/// number of borrowers, but always one token.
const SHARED_DIVISOR: f64 = 4.0;

/// Divisor that replaces [`SHARED_DIVISOR`] while only one borrower is active. Each settlement
/// loses the tokens that arrive during half a round trip while the bucket is full, so fewer and
/// larger leases lose less.
const SOLE_DIVISOR: f64 = 2.0;

/// Smallest lease in thousandths of a token; smaller ones are not worth a message.
const MIN_LEASE: u32 = 20;

/// Lower bound of the seconds that pass on this clock while one second passes on another node's clock.
const MIN_CLOCK_RATE: f64 = 0.998;

/// Greatest number of slices into which an organisation's bucket is split.
pub const MAX_SLICES: u32 = 3;

/// Smallest burst of a slice in tokens, unless the bucket has only one slice.
const MIN_SLICE_BURST: u32 = 25;

/// Number of partitions over which the buckets of all organisations are spread.
pub const PARTITIONS: u32 = 64;

value! {
    /// Identifies a lease by the borrower's incarnation and the sequence number of its request.
    pub struct LeaseId {
        /// The borrower's incarnation.
        pub borrower: u64,
        /// The request's sequence number at the borrower.
        pub sequence: u64,
    }
}

data! {
    /// The owner's answer to a request for a lease.
    #[derive(Copy, PartialOrd)]
    pub struct Grant {
        /// Leased thousandths of tokens.
        pub granted: u32,
        /// Expected time until the slice has a whole token; zero if a lease was granted.
        pub retry_after: Duration,
        /// Thousandths of tokens that remain in the slice.
        pub remaining: u32,
    }

    /// Tokens that arrived up to `end` and were discarded because leases filled the bucket.
    #[derive(Copy)]
    struct Overflow {
        amount: f64,
        end: Instant,
    }

    #[derive(Copy)]
    struct Lease {
        granted: u32,
        expires: Instant,
    }
}

/// One slice of one organisation's bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    /// Tokens that can be leased.
    level: f64,
    updated: Instant,
    /// Tokens of all outstanding leases.
    leased: f64,
    leases: HashMap<LeaseId, Lease>,
    /// Time of the last request of each active borrower, by incarnation.
    borrowers: HashMap<u64, Instant>,
    overflows: VecDeque<Overflow>,
}

/// Converts thousandths to tokens.
fn tokens(thousandths: u32) -> f64 {
    f64::from(thousandths) / f64::from(TOKEN)
}

/// Returns the number of slices of a bucket.
///
/// A full slice loses arriving tokens even if the others have room, and the smaller the slices are,
/// the more often that happens. A small burst is therefore not split.
#[must_use]
pub fn slice_count(burst: u32, data_centres: usize) -> u32 {
    let centres = u32::try_from(data_centres).unwrap_or(MAX_SLICES);
    MAX_SLICES.min(centres).min(burst / MIN_SLICE_BURST).max(1)
}

/// Returns the rate and burst of one of `count` slices. All slices together have those of the whole
/// bucket.
#[must_use]
pub fn slice_size(rate: f64, burst: u32, count: u32, slice: u32) -> (f64, u32) {
    let burst = burst / count + u32::from(slice < burst % count);
    (rate / f64::from(count), burst)
}

impl Bucket {
    /// Creates the bucket of a slice. It may be `full` only if the slice has never had an owner before.
    #[must_use]
    pub fn new(rate: f64, burst: u32, full: bool, now: Instant) -> Self {
        let burst = f64::from(burst);
        Self {
            rate,
            burst,
            level: if full { burst } else { 0.0 },
            updated: now,
            leased: 0.0,
            leases: HashMap::new(),
            borrowers: HashMap::new(),
            overflows: VecDeque::new(),
        }
    }

    /// Changes the rate and burst. Tokens beyond the new burst are lost.
    pub fn reconfigure(&mut self, rate: f64, burst: u32, now: Instant) {
        self.advance(now);
        self.rate = rate;
        self.burst = f64::from(burst);
        self.clamp();
    }

    /// Limits the level to the part of the burst that is not leased.
    fn clamp(&mut self) {
        self.level = self.level.min(self.burst - self.leased).max(0.0);
    }

    /// Advances to `now`: expired leases count as spent, and the bucket is refilled.
    fn advance(&mut self, now: Instant) {
        let leased = &mut self.leased;
        self.leases.retain(|_, lease| {
            let expired = now >= lease.expires;
            if expired {
                *leased -= tokens(lease.granted);
            }
            !expired
        });
        let passed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        let arrived = self.rate * passed.as_secs_f64();
        self.level += arrived;
        let discarded = (self.level - (self.burst - self.leased)).min(arrived);
        if discarded > 0.0 && self.leased > 0.0 {
            let amount = discarded;
            self.overflows.push_back(Overflow { amount, end: now });
        }
        let retention = LEASE_TERM + LEASE_MARGIN;
        while self
            .overflows
            .front()
            .is_some_and(|overflow| now > overflow.end + retention)
        {
            self.overflows.pop_front();
        }
        self.clamp();
    }

    /// Reclaims overflowed tokens for `spent` tokens that a borrower spent at `since`, and returns how
    /// many, at most `spent`. From `since` on the bucket had room for them, but the owner learns only
    /// now that they were spent.
    fn reclaim_overflow(&mut self, spent: f64, since: Instant) -> f64 {
        let mut reclaimed = 0.0;
        for overflow in self.overflows.iter_mut().rev() {
            let after = overflow.end.saturating_duration_since(since).as_secs_f64();
            let usable = overflow
                .amount
                .min(self.rate * after)
                .min(spent - reclaimed);
            overflow.amount -= usable;
            reclaimed += usable;
        }
        self.overflows.retain(|overflow| overflow.amount > 0.0);
        reclaimed
    }

    /// Ends a lease, and returns the tokens that the borrower has not spent to the bucket.
    ///
    /// `spends` holds the spent amounts in thousandths of tokens, each with its age on the borrower's
    /// clock.
    pub fn settle(&mut self, id: LeaseId, spends: &[(u32, Duration)], now: Instant) {
        self.advance(now);
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        let mut spent = 0;
        for (amount, age) in spends {
            let amount = (*amount).min(lease.granted - spent);
            let since = now.checked_sub(age.mul_f64(MIN_CLOCK_RATE)).unwrap_or(now);
            self.level += self.reclaim_overflow(tokens(amount), since);
            spent += amount;
        }
        self.leased -= tokens(lease.granted);
        self.level += tokens(lease.granted.saturating_sub(spent));
        self.clamp();
    }

    /// Grants a lease of up to `wanted` thousandths of tokens. A repeated request gets the same lease.
    ///
    /// A slice with less than one token leases that fraction, which leases of other slices may complete
    /// to a whole token, unless it is below `least` thousandths.
    pub fn grant_lease(&mut self, id: LeaseId, wanted: u32, least: u32, now: Instant) -> Grant {
        self.advance(now);
        if let Some(lease) = self.leases.get(&id) {
            return Grant {
                granted: lease.granted,
                retry_after: Duration::ZERO,
                remaining: self.remaining(),
            };
        }
        self.borrowers.insert(id.borrower, now);
        self.borrowers
            .retain(|_, requested| now < *requested + BORROWER_ACTIVE_FOR);
        let granted = wanted.min(self.lease_limit());
        if granted < least.max(MIN_LEASE) {
            return Grant {
                granted: 0,
                retry_after: self.retry_after(),
                remaining: self.remaining(),
            };
        }
        self.level -= tokens(granted);
        self.leased += tokens(granted);
        let expires = now + LEASE_TERM + LEASE_MARGIN;
        self.leases.insert(id, Lease { granted, expires });
        Grant {
            granted,
            retry_after: Duration::ZERO,
            remaining: self.remaining(),
        }
    }

    /// Returns the greatest lease that may be granted now, in thousandths of tokens.
    fn lease_limit(&self) -> u32 {
        #[expect(clippy::cast_precision_loss)]
        let divisor = match self.borrowers.len() {
            0 | 1 => SOLE_DIVISOR,
            active => SHARED_DIVISOR * active as f64,
        };
        let amount = (self.level / divisor).max(1.0);
        let amount = amount.min(self.level) * f64::from(TOKEN);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = amount as u32;
        limit
    }

    fn remaining(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let remaining = (self.level * f64::from(TOKEN)) as u32;
        remaining
    }

    fn retry_after(&self) -> Duration {
        let has_room = self.burst - self.leased >= 1.0;
        if !has_room {
            // No whole token fits into the bucket until a lease ends.
            return LEASE_TERM;
        }
        Duration::from_secs_f64(((1.0 - self.level) / self.rate).clamp(0.0, 3_600.0))
    }
}
