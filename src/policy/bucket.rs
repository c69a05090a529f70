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
pub const LOAN_TERM: Duration = Duration::from_millis(200);

/// How much longer the keeper counts a loan as out.
pub const LOAN_MARGIN: Duration = Duration::from_millis(20);

/// How long a borrower counts as asking after it asked.
const ASKING_FOR: Duration = Duration::from_secs(1);

/// The share of what is left that one loan may take is one in this many a borrower.
const BATCH_DIVISOR: f64 = 4.0;

/// The same for a borrower that alone has asked of late. Each settlement loses what comes in during
/// half a round trip while the bucket stands full, so fewer and larger loans lose less.
const SOLE_DIVISOR: f64 = 2.0;

/// Loans smaller than this, in thousandths of a token, are not worth a message.
const LEAST_LOAN: u32 = 20;

/// What an age on another clock surely amounts to on this one.
const CLOCK_SHARE: f64 = 0.998;

/// Slices that an organisation's bucket is split into at most.
pub const MOST_SLICES: u32 = 3;

/// Tokens of burst that a slice has at least, unless it is the only one.
const LEAST_SLICE: u32 = 25;

/// Partitions over which the buckets of all organisations are spread.
pub const PARTITIONS: u32 = 64;

value! {
    /// Names a loan: the borrower's incarnation and the sequence of its request.
    pub struct LoanId {
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
        pub due: Duration,
        /// Thousandths of tokens that are left.
        pub left: u32,
    }

    /// What came in and found no room, for loans counted as out, up to a moment.
    #[derive(Copy)]
    struct Spill {
        amount: f64,
        end: Instant,
    }

    #[derive(Copy)]
    struct Loan {
        granted: u32,
        until: Instant,
    }
}

/// One slice of one organisation's bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Instant,
    out: f64,
    loans: HashMap<LoanId, Loan>,
    askers: HashMap<u64, Instant>,
    spills: VecDeque<Spill>,
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
    let centres = u32::try_from(data_centres).unwrap_or(MOST_SLICES);
    MOST_SLICES.min(centres).min(burst / LEAST_SLICE).max(1)
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
            filled: now,
            out: 0.0,
            loans: HashMap::new(),
            askers: HashMap::new(),
            spills: VecDeque::new(),
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
        self.level = self.level.min(self.burst - self.out).max(0.0);
    }

    /// Lets time pass: loans whose term is over count as spent, and the bucket fills.
    fn advance(&mut self, now: Instant) {
        let out = &mut self.out;
        self.loans.retain(|_, loan| {
            let over = now >= loan.until;
            if over {
                *out -= tokens(loan.granted);
            }
            !over
        });
        let passed = now.saturating_duration_since(self.filled);
        self.filled = self.filled.max(now);
        let came = self.rate * passed.as_secs_f64();
        self.level += came;
        let spilled = (self.level - (self.burst - self.out)).min(came);
        if spilled > 0.0 && self.out > 0.0 {
            let amount = spilled;
            self.spills.push_back(Spill { amount, end: now });
        }
        let kept = LOAN_TERM + LOAN_MARGIN;
        while self.spills.front().is_some_and(|s| now > s.end + kept) {
            self.spills.pop_front();
        }
        self.clamp();
    }

    /// Takes back what spilled since tokens were spent, up to their number: from then on there was
    /// room for it, although the keeper did not know.
    fn recover(&mut self, spent: f64, since: Instant) -> f64 {
        let mut recovered = 0.0;
        for spill in self.spills.iter_mut().rev() {
            let after = spill.end.saturating_duration_since(since).as_secs_f64();
            let part = spill.amount.min(self.rate * after).min(spent - recovered);
            spill.amount -= part;
            recovered += part;
        }
        self.spills.retain(|spill| spill.amount > 0.0);
        recovered
    }

    /// Takes back what a borrower has not spent of a loan, and forgets the loan.
    ///
    /// `spends` says how much was spent, in thousandths, and how long ago on the borrower's clock.
    pub fn settle(&mut self, id: LoanId, spends: &[(u32, Duration)], now: Instant) {
        self.advance(now);
        let Some(loan) = self.loans.remove(&id) else {
            return;
        };
        let mut spent = 0;
        for (amount, age) in spends {
            let amount = (*amount).min(loan.granted - spent);
            let since = now.checked_sub(age.mul_f64(CLOCK_SHARE)).unwrap_or(now);
            self.level += self.recover(tokens(amount), since);
            spent += amount;
        }
        self.out -= tokens(loan.granted);
        self.level += tokens(loan.granted.saturating_sub(spent));
        self.clamp();
    }

    /// Lends up to `wanted` thousandths of tokens; a repeated request gets the same loan.
    ///
    /// A slice that has less than a token left lends that, for it may complete what others lend,
    /// unless it is below `least`.
    pub fn lend(&mut self, id: LoanId, wanted: u32, least: u32, now: Instant) -> Grant {
        self.advance(now);
        if let Some(loan) = self.loans.get(&id) {
            return Grant {
                granted: loan.granted,
                due: Duration::ZERO,
                left: self.left(),
            };
        }
        self.askers.insert(id.borrower, now);
        self.askers.retain(|_, at| now < *at + ASKING_FOR);
        let granted = wanted.min(self.batch());
        if granted < least.max(LEAST_LOAN) {
            return Grant {
                granted: 0,
                due: self.due(),
                left: self.left(),
            };
        }
        self.level -= tokens(granted);
        self.out += tokens(granted);
        let until = now + LOAN_TERM + LOAN_MARGIN;
        self.loans.insert(id, Loan { granted, until });
        Grant {
            granted,
            due: Duration::ZERO,
            left: self.left(),
        }
    }

    fn batch(&self) -> u32 {
        #[expect(clippy::cast_precision_loss)]
        let parts = match self.askers.len() {
            0 | 1 => SOLE_DIVISOR,
            askers => BATCH_DIVISOR * askers as f64,
        };
        let share = (self.level / parts).max(1.0);
        let share = share.min(self.level) * f64::from(TOKEN);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let batch = share as u32;
        batch
    }

    fn left(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left = (self.level * f64::from(TOKEN)) as u32;
        left
    }

    fn due(&self) -> Duration {
        let room = self.burst - self.out >= 1.0;
        if !room {
            return LOAN_TERM;
        }
        Duration::from_secs_f64(((1.0 - self.level) / self.rate).clamp(0.0, 3_600.0))
    }
}
