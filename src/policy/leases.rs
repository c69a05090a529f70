//! The borrower's side of a rate: what a guard holds of an organisation's tokens.

use std::time::{Duration, Instant};

use crate::policy::bucket::{LEASE_TERM, TOKEN};

/// How long a refusal by every keeper is answered from, at most.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);

/// How long before its end a loan is closed, so that what is left goes back in time.
const CLOSE_BEFORE: Duration = Duration::from_millis(40);

/// Weight of the newest term in the estimate of demand.
const DEMAND_WEIGHT: f64 = 0.5;

data! {
    /// What is held of one slice, in thousandths of tokens.
    pub struct Lease {
        /// The slice.
        pub slice: u32,
        /// The keeper's VM.
        pub owner: String,
        /// The sequence of the request.
        pub sequence: u64,
        /// What was lent.
        pub granted: u32,
        /// What was spent.
        pub spent: u32,
        /// When and how much, as far as that is still told apart.
        pub spends: Vec<(u32, Instant)>,
        /// When the term ends, counted from the moment the request was sent.
        pub expires: Instant,
    }

    /// What became of a wish to start one request.
    #[derive(Copy)]
    pub enum TakeResult {
        /// It may start before this instant.
        Admitted(Instant),
        /// A keeper must be asked.
        NeedLease,
        /// No keeper has any; allowance is due at this instant.
        Refused(Instant),
    }
}

/// Spends of one loan that are told apart.
const MAX_SPENDS: usize = 8;

/// Adds a spend; when there are too many, the two oldest count as spent at the later time.
fn record_spend(spends: &mut Vec<(u32, Instant)>, amount: u32, now: Instant) {
    spends.push((amount, now));
    if spends.len() > MAX_SPENDS {
        let (oldest, _) = spends.remove(0);
        spends[0].0 += oldest;
    }
}

/// What a guard holds of one organisation.
#[derive(Debug)]
pub struct Account {
    leases: Vec<Lease>,
    closed: Vec<Lease>,
    refused_until: Option<Instant>,
    admitted: u32,
    window_start: Instant,
    demand: f64,
    levels: Vec<SliceLevel>,
}

/// What a keeper last said was left in its slice.
#[derive(Debug, Clone, Copy)]
struct SliceLevel {
    remaining: u32,
    at: Instant,
}

impl Account {
    /// Creates an account that holds nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            leases: Vec::new(),
            closed: Vec::new(),
            refused_until: None,
            admitted: 0,
            window_start: now,
            demand: 0.0,
            levels: Vec::new(),
        }
    }

    /// Asks to start one request now.
    pub fn try_take(&mut self, now: Instant) -> TakeResult {
        self.close_expiring(now);
        if self.available() >= TOKEN {
            self.admitted += 1;
            return TakeResult::Admitted(self.spend(now));
        }
        match self.refused_until {
            Some(due) if now < due => TakeResult::Refused(due),
            _ => TakeResult::NeedLease,
        }
    }

    /// Returns what is held, in thousandths of tokens.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.leases.iter().map(|l| l.granted - l.spent).sum()
    }

    /// Spends one token, of several loans if need be, and returns when the first of them ends.
    fn spend(&mut self, now: Instant) -> Instant {
        let mut left = TOKEN;
        let mut until = None;
        for loan in &mut self.leases {
            let part = left.min(loan.granted - loan.spent);
            if part > 0 {
                loan.spent += part;
                record_spend(&mut loan.spends, part, now);
                left -= part;
                until = Some(until.map_or(loan.expires, |u: Instant| u.min(loan.expires)));
            }
        }
        let spent = |l: &mut Lease| l.spent == l.granted;
        self.closed.extend(self.leases.extract_if(.., spent));
        until.unwrap_or(self.window_start)
    }

    /// Returns when allowance is due, if every keeper refused a moment ago and nothing is held.
    pub fn refused_until(&mut self, now: Instant) -> Option<Instant> {
        self.close_expiring(now);
        let held = self.available() >= TOKEN;
        self.refused_until.filter(|due| now < *due && !held)
    }

    /// Returns what to ask for, in thousandths: the demand of one term, or what waits.
    pub fn wanted(&mut self, waiting: u32, now: Instant) -> u32 {
        if now >= self.window_start + LEASE_TERM {
            let passed = now - self.window_start;
            let terms = (passed.as_secs_f64() / LEASE_TERM.as_secs_f64()).max(1.0);
            let newest = f64::from(self.admitted) / terms;
            self.demand += DEMAND_WEIGHT * (newest - self.demand);
            self.admitted = 0;
            self.window_start = now;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand = self.demand.round() as u32;
        let tokens = demand.max(waiting).max(1);
        tokens.saturating_mul(TOKEN).saturating_sub(self.available())
    }

    /// Takes up what is left in a slice.
    pub fn record_level(&mut self, slice: u32, left: u32, now: Instant) {
        let place = slice as usize;
        if self.levels.len() <= place {
            let unknown = SliceLevel {
                remaining: u32::MAX,
                at: now,
            };
            self.levels.resize(place + 1, unknown);
        }
        self.levels[place] = SliceLevel { remaining: left, at: now };
    }

    /// Estimates what is left in a slice as a share of its burst.
    ///
    /// Asking the fullest slice first keeps all of them from standing full, where what comes in is
    /// lost, while another one is empty.
    #[must_use]
    pub fn fullness(&self, slice: u32, rate: f64, burst: u32, now: Instant) -> f64 {
        let Some(known) = self.levels.get(slice as usize) else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(known.at).as_secs_f64();
        let level = f64::from(known.remaining) / f64::from(TOKEN) + rate * passed;
        (level / f64::from(burst.max(1))).min(1.0)
    }

    /// Works out when what is held, what the slices have left and what comes in make a token.
    #[must_use]
    pub fn next_token(&self, rate: f64) -> Duration {
        let left = self
            .levels
            .iter()
            .filter(|s| s.remaining < TOKEN)
            .map(|s| s.remaining);
        let there = left.fold(self.available(), u32::saturating_add);
        let missing = f64::from(TOKEN.saturating_sub(there)) / f64::from(TOKEN);
        Duration::from_secs_f64(missing / rate)
    }

    /// Takes up a loan.
    pub fn add_lease(&mut self, loan: Lease) {
        self.refused_until = None;
        self.leases.push(loan);
    }

    /// Takes up that every keeper refused; the parts of a token that are held go back.
    ///
    /// `asked` is when the first keeper was asked, so that what comes in while the answers are under
    /// way counts.
    pub fn refuse(&mut self, due: Duration, asked: Instant) {
        self.refused_until = Some(asked + due.min(MAX_REFUSAL_TIME));
        self.closed.append(&mut self.leases);
    }

    /// Closes loans that end soon; what is left of them goes back with the settlement.
    pub fn close_expiring(&mut self, now: Instant) {
        let ends = |l: &mut Lease| now + CLOSE_BEFORE >= l.expires;
        self.closed.extend(self.leases.extract_if(.., ends));
    }

    /// Takes out the closed loans of a keeper, to be settled with it.
    pub fn take_closed(&mut self, keeper: &str, slice: u32) -> Vec<Lease> {
        let goes = |l: &mut Lease| l.owner == keeper && l.slice == slice;
        self.closed.extract_if(.., goes).collect()
    }

    /// Returns a keeper and slice that closed loans await settlement with.
    #[must_use]
    pub fn unsettled(&self) -> Option<(String, u32)> {
        self.closed.first().map(|l| (l.owner.clone(), l.slice))
    }

    /// Tells whether nothing is held or to be settled.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.leases.is_empty() && self.closed.is_empty() && now >= self.window_start + 10 * LEASE_TERM
    }
}
