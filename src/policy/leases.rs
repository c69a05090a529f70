//! The borrower's side of rate limits: the leased tokens of an organisation at an egress node.

use std::time::{Duration, Instant};

use crate::policy::bucket::{LEASE_TERM, TOKEN};

/// Longest time for which requests are refused without asking the owners again.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);

/// How long before its expiry a lease is closed, so that its unspent tokens are returned in time.
const CLOSE_BEFORE: Duration = Duration::from_millis(40);

/// Weight of the demand counted since the last estimate in the new estimate.
const DEMAND_WEIGHT: f64 = 0.5;

data! {
    /// A lease from one slice. Amounts are in thousandths of tokens.
    pub struct Lease {
        /// The slice.
        pub slice: u32,
        /// The VM that owns the slice.
        pub owner: String,
        /// The sequence number of the request for the lease.
        pub sequence: u64,
        /// The granted amount.
        pub granted: u32,
        /// The spent amount.
        pub spent: u32,
        /// Spent amounts with their times. The oldest are merged.
        pub spends: Vec<(u32, Instant)>,
        /// When the lease expires. Its term counts from when the request was sent.
        pub expires: Instant,
    }

    /// The result of an attempt to spend a token for a request.
    #[derive(Copy)]
    pub enum SpendResult {
        /// It may start before this instant.
        Admitted(Instant),
        /// The owners must be asked for a lease first.
        NeedLease,
        /// No owner has enough tokens; one is expected at this instant.
        Refused(Instant),
    }
}

/// Greatest number of spends of one lease that are recorded separately.
const MAX_SPENDS: usize = 8;

/// Adds a spend. When there are too many, the two oldest are merged and get the later time.
fn record_spend(spends: &mut Vec<(u32, Instant)>, amount: u32, now: Instant) {
    spends.push((amount, now));
    if spends.len() > MAX_SPENDS {
        let (oldest, _) = spends.remove(0);
        spends[0].0 += oldest;
    }
}

/// An egress node's leases of one organisation's tokens.
#[derive(Debug)]
pub struct Account {
    /// Open leases.
    leases: Vec<Lease>,
    /// Leases from which nothing is spent any more and which are not settled yet.
    closed: Vec<Lease>,
    refused_until: Option<Instant>,
    /// Requests admitted since `window_start`.
    admitted: u32,
    window_start: Instant,
    /// Estimated number of requests in one lease term.
    demand: f64,
    /// By slice.
    levels: Vec<SliceLevel>,
}

/// The remaining thousandths of tokens that an owner last reported for its slice.
#[derive(Debug, Clone, Copy)]
struct SliceLevel {
    remaining: u32,
    reported: Instant,
}

impl Account {
    /// Creates an account without leases.
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

    /// Spends one token for a request that starts now, if one is available.
    pub fn try_spend(&mut self, now: Instant) -> SpendResult {
        self.close_expiring(now);
        if self.available() >= TOKEN {
            self.admitted += 1;
            return SpendResult::Admitted(self.spend(now));
        }
        match self.refused_until {
            Some(until) if now < until => SpendResult::Refused(until),
            _ => SpendResult::NeedLease,
        }
    }

    /// Returns the unspent amount of all open leases in thousandths of tokens.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.leases.iter().map(|l| l.granted - l.spent).sum()
    }

    /// Spends one token, if necessary from several leases, and returns the earliest expiry of these.
    fn spend(&mut self, now: Instant) -> Instant {
        let mut remaining = TOKEN;
        let mut until = None;
        for lease in &mut self.leases {
            let amount = remaining.min(lease.granted - lease.spent);
            if amount > 0 {
                lease.spent += amount;
                record_spend(&mut lease.spends, amount, now);
                remaining -= amount;
                until = Some(until.map_or(lease.expires, |u: Instant| u.min(lease.expires)));
            }
        }
        let is_spent = |l: &mut Lease| l.spent == l.granted;
        self.closed.extend(self.leases.extract_if(.., is_spent));
        until.unwrap_or(self.window_start)
    }

    /// Returns when a token is expected if all owners have refused recently and none is available.
    pub fn refused_until(&mut self, now: Instant) -> Option<Instant> {
        self.close_expiring(now);
        let has_token = self.available() >= TOKEN;
        self.refused_until
            .filter(|until| now < *until && !has_token)
    }

    /// Returns how many thousandths of tokens to ask for: those that the demand of one term or the
    /// waiting requests need beyond the available ones. Updates the estimate of demand once a term.
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
        tokens
            .saturating_mul(TOKEN)
            .saturating_sub(self.available())
    }

    /// Records how many thousandths of tokens remain in a slice.
    pub fn record_level(&mut self, slice: u32, remaining: u32, now: Instant) {
        let index = slice as usize;
        if self.levels.len() <= index {
            let unknown = SliceLevel {
                remaining: u32::MAX,
                reported: now,
            };
            self.levels.resize(index + 1, unknown);
        }
        self.levels[index] = SliceLevel {
            remaining,
            reported: now,
        };
    }

    /// Estimates the level of a slice as a fraction of its burst; 1 while it is unknown.
    ///
    /// Tokens that arrive at a full slice are lost. Asking the fullest slice first avoids that one
    /// slice is full while another one is empty.
    #[must_use]
    pub fn fullness(&self, slice: u32, rate: f64, burst: u32, now: Instant) -> f64 {
        let Some(last) = self.levels.get(slice as usize) else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(last.reported).as_secs_f64();
        let level = f64::from(last.remaining) / f64::from(TOKEN) + rate * passed;
        (level / f64::from(burst.max(1))).min(1.0)
    }

    /// Returns how long it takes until the available tokens, the fractions that remain in the slices
    /// and the tokens that arrive at `rate` add up to one token.
    #[must_use]
    pub fn retry_after(&self, rate: f64) -> Duration {
        let remaining = self
            .levels
            .iter()
            .filter(|s| s.remaining < TOKEN)
            .map(|s| s.remaining);
        let available = remaining.fold(self.available(), u32::saturating_add);
        let missing = f64::from(TOKEN.saturating_sub(available)) / f64::from(TOKEN);
        Duration::from_secs_f64(missing / rate)
    }

    /// Adds a granted lease.
    pub fn add_lease(&mut self, lease: Lease) {
        self.refused_until = None;
        self.leases.push(lease);
    }

    /// Records that all owners refused, and closes the open leases to return their fractions of a
    /// token.
    ///
    /// A token is expected `retry_after` after `asked`, when the first owner was asked. Tokens that
    /// arrive while the answers are under way thus count.
    pub fn record_refusal(&mut self, retry_after: Duration, asked: Instant) {
        self.refused_until = Some(asked + retry_after.min(MAX_REFUSAL_TIME));
        self.closed.append(&mut self.leases);
    }

    /// Closes leases that expire soon, so that their unspent tokens are returned to the owner in
    /// time.
    pub fn close_expiring(&mut self, now: Instant) {
        let expires_soon = |l: &mut Lease| now + CLOSE_BEFORE >= l.expires;
        self.closed.extend(self.leases.extract_if(.., expires_soon));
    }

    /// Removes and returns the closed leases of an owner's slice, which are to be settled with it.
    pub fn take_closed(&mut self, owner: &str, slice: u32) -> Vec<Lease> {
        let matches = |l: &mut Lease| l.owner == owner && l.slice == slice;
        self.closed.extract_if(.., matches).collect()
    }

    /// Returns the owner and slice of a closed lease, if one has not been settled yet.
    #[must_use]
    pub fn unsettled(&self) -> Option<(String, u32)> {
        self.closed.first().map(|l| (l.owner.clone(), l.slice))
    }

    /// Returns whether no lease is open or to be settled, and the demand has not been measured for ten
    /// terms.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.leases.is_empty()
            && self.closed.is_empty()
            && now >= self.window_start + 10 * LEASE_TERM
    }
}
