//! An organisation's rate where the deployment allows some excess: each data centre grants its part of
//! it alone, and asks another one for more only when its own part is used up.
//!
//! docs/decisions/4-quota-by-data-centre.md weighs this against keepers.

use std::time::Instant;

/// Share of the excess that is handed out; the rest covers two nodes that both take themselves for
/// the holder of a part for a moment, and nodes that reach no holder.
const GRANTED_EXCESS: f64 = 0.25;

/// Share of the requests that each window may have on top, that is added to the rate.
const EXCESS_RATE: f64 = 0.5;

/// Share of its burst that a part starts with, since an earlier holder may have granted the rest.
const START_SHARE: f64 = 0.2;

data! {
    /// What a deployment tolerates beyond rate and burst.
    pub struct Excess {
        /// Requests beyond what rate and burst allow in any window, at most, over the fleet.
        pub requests: f64,
        /// Share of what rate and burst allow in a window that may come on top.
        pub share: f64,
        /// Length of a window in seconds.
        pub window: f64,
    }
}

/// One part of an organisation's quota, as a token bucket.
#[derive(Debug, Clone)]
pub struct Share {
    tokens: f64,
    updated: Instant,
}

/// How fast a part refills and how much it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSize {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

impl ShareSize {
    /// Works out one of `parts` equal parts of a quota.
    #[must_use]
    pub fn of(rate: f64, burst: u32, excess: &Excess, parts: u32) -> Self {
        let parts = f64::from(parts.max(1));
        let steady = EXCESS_RATE * excess.requests / excess.window;
        Self {
            rate: (rate * (1.0 + GRANTED_EXCESS * excess.share) + steady) / parts,
            burst: ((f64::from(burst) + GRANTED_EXCESS * excess.requests) / parts).max(1.0),
        }
    }
}

impl Share {
    /// Starts a part.
    #[must_use]
    pub fn new(size: ShareSize, now: Instant) -> Self {
        Self {
            tokens: size.burst * START_SHARE,
            updated: now,
        }
    }

    /// Starts a part that is empty, and fills from `from` on.
    #[must_use]
    pub fn empty(from: Instant) -> Self {
        Self {
            tokens: 0.0,
            updated: from,
        }
    }

    fn refill(&mut self, size: ShareSize, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let full = self.tokens.max(size.burst);
        self.tokens = (self.tokens + passed * size.rate).min(full);
    }

    /// Lends up to `most` requests to the part of another data centre, and keeps as many.
    pub fn transfer_out(&mut self, size: ShareSize, most: u32, now: Instant) -> u32 {
        self.refill(size, now);
        let mut lent = 0;
        while lent < most && self.tokens >= 2.0 {
            self.tokens -= 1.0;
            lent += 1;
        }
        if lent == 0 && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            lent = 1;
        }
        lent
    }

    /// Returns how many requests are left, as of the last draw.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Takes up what another part lent.
    pub fn transfer_in(&mut self, lent: u32) {
        self.tokens += f64::from(lent);
    }

    /// Grants one request, if one is left.
    pub fn try_draw(&mut self, size: ShareSize, now: Instant) -> bool {
        self.refill(size, now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
