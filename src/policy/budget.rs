//! Retry budgets: extra attempts are a share of a service's own traffic.

/// Extra attempts that a quiet service may save up at one node, where its configuration gives no
/// number for the whole fleet.
pub const MAX_BALANCE: f64 = 10.0;

/// The budget of one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Starts with all that may be saved up.
    #[must_use]
    pub fn new(most: f64) -> Self {
        Self { balance: most }
    }

    /// Adds the share that one request earns; no more than `most` is saved up.
    pub fn earn(&mut self, share: f64, most: f64) {
        self.balance = (self.balance + share).min(most.max(1.0));
    }

    /// Counts an extra attempt that is made in any case; later ones make up for it.
    pub fn spend_forced(&mut self) {
        self.balance -= 1.0;
    }

    /// Takes one extra attempt, if there is one; `spared` are left for more urgent ones.
    #[must_use]
    pub fn try_spend(&mut self, spared: f64) -> bool {
        let enough = self.balance >= 1.0 + spared;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
