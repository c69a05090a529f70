//! Shares of an organisation's quota, for deployments that tolerate some excess. Each data centre
//! grants requests from its own share, and asks other data centres only when that is used up.
//!
//! docs/decisions/4-quota-by-data-centre.md compares this with owners of slices.

use std::{sync::Arc, time::Instant};

use crate::policy::{tenure::Tenures, tokens::Tokens};

/// Fraction of the tolerated excess that is granted. The rest covers two nodes that both act as the
/// owner of a share for a moment, and nodes that reach no owner.
const GRANTED_EXCESS: f64 = 0.25;

/// Fraction of [`Excess::requests`] that is added to the rate, spread over a window.
const EXCESS_RATE: f64 = 0.5;

/// Fraction of its burst with which a share starts, since an earlier owner may have granted the rest.
const INITIAL_FILL: f64 = 0.2;

data! {
    /// The excess over rate and burst that a deployment tolerates.
    pub struct Excess {
        /// Number of requests in any window, over the whole fleet, that are tolerated beyond rate and
        /// burst.
        pub requests: f64,
        /// Fraction of what rate and burst allow in a window that is tolerated on top.
        pub fraction: f64,
        /// Length of a window in seconds.
        pub window: f64,
    }
}

/// One share of an organisation's quota, as a token bucket.
#[derive(Debug, Clone)]
pub struct Share {
    /// The size at the last use.
    size: ShareSize,
    tokens: Tokens,
}

/// The rate and burst of a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSize {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

impl ShareSize {
    /// Computes the size of one of `count` equal shares of a quota.
    #[must_use]
    pub fn of(rate: f64, burst: u32, excess: &Excess, count: u32) -> Self {
        let count = f64::from(count.max(1));
        let extra_rate = EXCESS_RATE * excess.requests / excess.window;
        Self {
            rate: (rate * (1.0 + GRANTED_EXCESS * excess.fraction) + extra_rate) / count,
            burst: ((f64::from(burst) + GRANTED_EXCESS * excess.requests) / count).max(1.0),
        }
    }
}

impl Share {
    /// Creates a share whose previous owner is unknown.
    #[must_use]
    pub fn new(size: ShareSize, now: Instant) -> Self {
        Self {
            size,
            tokens: Tokens::new(size.burst * INITIAL_FILL, now),
        }
    }

    /// Creates an empty share that is refilled from the instant `from` on.
    #[must_use]
    pub fn empty(size: ShareSize, from: Instant) -> Self {
        Self {
            size,
            tokens: Tokens::new(0.0, from),
        }
    }

    /// Discards all tokens if the node has not been the owner without interruption since it last used the share, as
    /// others may have granted them, and returns whether it did so. The share is refilled from the begin of the
    /// present tenure on.
    pub fn resume(
        &mut self,
        tenures: &Tenures,
        now: Instant,
        owns: impl Fn(&[Arc<str>]) -> bool,
    ) -> bool {
        let began = tenures.began_after(self.tokens.updated(), now, owns);
        if let Some(began) = began {
            self.tokens.restart(began);
        }
        began.is_some()
    }

    /// Sets the size, and returns the previous one if it was another.
    pub fn resize(&mut self, size: ShareSize) -> Option<ShareSize> {
        let previous = std::mem::replace(&mut self.size, size);
        (previous != size).then_some(previous)
    }

    fn refill(&mut self, size: ShareSize, now: Instant) {
        // Tokens that were filled under a greater burst are lost.
        self.tokens.refill(size.rate, size.burst, now);
    }

    /// Removes up to `max` tokens for another data centre's share, and returns their number. The last
    /// token is removed only if the share has no other.
    pub fn transfer_out(&mut self, size: ShareSize, max: u32, now: Instant) -> u32 {
        self.refill(size, now);
        let mut transferred = 0;
        while transferred < max && self.tokens.has(2.0) {
            self.tokens.spend();
            transferred += 1;
        }
        if transferred == 0 && self.tokens.is_available() {
            self.tokens.spend();
            transferred = 1;
        }
        transferred
    }

    /// Returns the tokens that remained after the last draw or transfer.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.tokens.count()
    }

    /// Spends a token for one request if there is one, and returns whether the request is granted.
    pub fn try_draw(&mut self, size: ShareSize, now: Instant) -> bool {
        self.draw_with(0, size, now)
    }

    /// Adds tokens that another data centre's share transferred, and then spends a token for one request if there
    /// is one. Returns whether the request is granted.
    pub fn draw_with(&mut self, transferred: u32, size: ShareSize, now: Instant) -> bool {
        self.refill(size, now);
        self.tokens.add(f64::from(transferred));
        let granted = self.tokens.is_available();
        if granted {
            self.tokens.spend();
        }
        granted
    }
}
