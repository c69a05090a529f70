//! The keeper's side of a rate: one slice of an organisation's bucket, from which tokens are lent.
//!
//! What is out counts against the burst until it is known spent or its term is over, so loss,
//! repetition or a crash can only lose allowance, never make it; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#rates).

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Loans are counted in thousandths of a token, so that what several slices have left of one adds up.
pub const TOKEN: u32 = 1_000;

/// How long a borrower may spend a loan, from when it sent its request.
pub const LEASE_TERM: Duration = Duration::from_millis(200);

/// How much longer the keeper counts a loan as out.
pub const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// How long a borrower counts as asking after it asked.
const BORROWER_ACTIVE_FOR: Duration = Duration::from_secs(1);

/// The share of what is left that one loan may take is one in this many a borrower.
const BATCH_DIVISOR: f64 = 4.0;

/// The same for a borrower that alone has asked of late. Each settlement loses what comes in during
/// half a round trip while the bucket stands full, so fewer and larger loans lose less.
const SOLE_DIVISOR: f64 = 2.0;

/// Loans smaller than this, in thousandths of a token, are not worth a message.
const MIN_LEASE: u32 = 20;

/// What an age on another clock surely amounts to on this one.
const MIN_CLOCK_RATE: f64 = 0.998;

/// Slices that an organisation's bucket is split into at most.
pub const MAX_SLICES: u32 = 3;

/// Tokens of burst that a slice has at least, unless it is the only one.
const MIN_SLICE_BURST: u32 = 25;

/// Partitions over which the buckets of all organisations are spread.
pub const PARTITIONS: u32 = 64;

value! {
    /// Names a loan: the borrower's incarnation and the sequence of its request.
    pub struct LeaseId {
        /// The borrower's incarnation.
        pub borrower: u64,
        /// The request's sequence there.
        pub sequence: u64,
    }
}

data! {
    /// The keeper's answer.
    #[derive(Copy, PartialOrd)]
    pub struct Grant {
        /// Thousandths of tokens lent.
        pub granted: u32,
        /// When a whole token is due, if none was lent.
        pub retry_after: Duration,
        /// Thousandths of tokens that are left.
        pub remaining: u32,
    }

    /// What came in and found no room, for loans counted as out, up to a moment.
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
    level: f64,
    updated: Instant,
    leased: f64,
    leases: HashMap<LeaseId, Lease>,
    borrowers: HashMap<u64, Instant>,
    overflows: VecDeque<Overflow>,
}

/// Turns thousandths into tokens.
fn tokens(thousandths: u32) -> f64 {
    f64::from(thousandths) / f64::from(TOKEN)
}

/// Returns how many slices a bucket has.
///
/// A slice that stands full loses what comes in even if the others are not full, and the smaller the
/// slices, the more often one is: a small burst stays whole.
#[must_use]
pub fn slices(burst: u32, data_centres: usize) -> u32 {
    let centres = u32::try_from(data_centres).unwrap_or(MAX_SLICES);
    MAX_SLICES.min(centres).min(burst / MIN_SLICE_BURST).max(1)
}

/// Returns the rate and burst of one slice; all slices sum to the whole.
#[must_use]
pub fn slice_of(rate: f64, burst: u32, slices: u32, slice: u32) -> (f64, u32) {
    let burst = burst / slices + u32::from(slice < burst % slices);
    (rate / f64::from(slices), burst)
}

impl Bucket {
    /// Creates a bucket; only one whose slice was never kept before may start full.
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

    /// Changes the rate and burst; what was saved up beyond the new burst is lost.
    pub fn reconfigure(&mut self, rate: f64, burst: u32, now: Instant) {
        self.advance(now);
        self.rate = rate;
        self.burst = f64::from(burst);
        self.clamp();
    }

    fn clamp(&mut self) {
        self.level = self.level.min(self.burst - self.leased).max(0.0);
    }

    /// Lets time pass: loans whose term is over count as spent, and the bucket fills.
    fn advance(&mut self, now: Instant) {
        let out = &mut self.leased;
        self.leases.retain(|_, loan| {
            let over = now >= loan.expires;
            if over {
                *out -= tokens(loan.granted);
            }
            !over
        });
        let passed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        let came = self.rate * passed.as_secs_f64();
        self.level += came;
        let spilled = (self.level - (self.burst - self.leased)).min(came);
        if spilled > 0.0 && self.leased > 0.0 {
            let amount = spilled;
            self.overflows.push_back(Overflow { amount, end: now });
        }
        let kept = LEASE_TERM + LEASE_MARGIN;
        while self.overflows.front().is_some_and(|s| now > s.end + kept) {
            self.overflows.pop_front();
        }
        self.clamp();
    }

    /// Takes back what spilled since tokens were spent, up to their number: from then on there was
    /// room for it, although the keeper did not know.
    fn reclaim_overflow(&mut self, spent: f64, since: Instant) -> f64 {
        let mut recovered = 0.0;
        for spill in self.overflows.iter_mut().rev() {
            let after = spill.end.saturating_duration_since(since).as_secs_f64();
            let part = spill.amount.min(self.rate * after).min(spent - recovered);
            spill.amount -= part;
            recovered += part;
        }
        self.overflows.retain(|spill| spill.amount > 0.0);
        recovered
    }

    /// Takes back what a borrower has not spent of a loan, and forgets the loan.
    ///
    /// `spends` says how much was spent, in thousandths, and how long ago on the borrower's clock.
    pub fn settle(&mut self, id: LeaseId, spends: &[(u32, Duration)], now: Instant) {
        self.advance(now);
        let Some(loan) = self.leases.remove(&id) else {
            return;
        };
        let mut spent = 0;
        for (amount, age) in spends {
            let amount = (*amount).min(loan.granted - spent);
            let since = now.checked_sub(age.mul_f64(MIN_CLOCK_RATE)).unwrap_or(now);
            self.level += self.reclaim_overflow(tokens(amount), since);
            spent += amount;
        }
        self.leased -= tokens(loan.granted);
        self.level += tokens(loan.granted.saturating_sub(spent));
        self.clamp();
    }

    /// Lends up to `wanted` thousandths of tokens; a repeated request gets the same loan.
    ///
    /// A slice that has less than a token left lends that, for it may complete what others lend,
    /// unless it is below `least`.
    pub fn grant_lease(&mut self, id: LeaseId, wanted: u32, least: u32, now: Instant) -> Grant {
        self.advance(now);
        if let Some(loan) = self.leases.get(&id) {
            return Grant {
                granted: loan.granted,
                retry_after: Duration::ZERO,
                remaining: self.remaining(),
            };
        }
        self.borrowers.insert(id.borrower, now);
        self.borrowers.retain(|_, at| now < *at + BORROWER_ACTIVE_FOR);
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
        let until = now + LEASE_TERM + LEASE_MARGIN;
        self.leases.insert(id, Lease { granted, expires: until });
        Grant {
            granted,
            retry_after: Duration::ZERO,
            remaining: self.remaining(),
        }
    }

    fn lease_limit(&self) -> u32 {
        #[expect(clippy::cast_precision_loss)]
        let parts = match self.borrowers.len() {
            0 | 1 => SOLE_DIVISOR,
            askers => BATCH_DIVISOR * askers as f64,
        };
        let share = (self.level / parts).max(1.0);
        let share = share.min(self.level) * f64::from(TOKEN);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let batch = share as u32;
        batch
    }

    fn remaining(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left = (self.level * f64::from(TOKEN)) as u32;
        left
    }

    fn retry_after(&self) -> Duration {
        let room = self.burst - self.leased >= 1.0;
        if !room {
            return LEASE_TERM;
        }
        Duration::from_secs_f64(((1.0 - self.level) / self.rate).clamp(0.0, 3_600.0))
    }
}
