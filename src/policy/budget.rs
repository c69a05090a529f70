//! Retry budgets, which limit extra attempts to a share of a service's own traffic.

/// Greatest balance of a service at one node, in extra attempts, where the configuration gives no
/// number for the whole fleet.
pub const MAX_BALANCE: f64 = 10.0;

/// The budget of one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget whose balance is `max`.
    #[must_use]
    pub fn new(max: f64) -> Self {
        Self { balance: max }
    }

    /// Adds what requests have earned. The balance stays within `max`, or within 1 if that is greater.
    pub fn earn(&mut self, earned: f64, max: f64) {
        self.balance = (self.balance + earned).min(max.max(1.0));
    }

    /// Spends one extra attempt that is made in any case. The balance may become negative, so that
    /// later attempts make up for it.
    pub fn spend_forced(&mut self) {
        self.balance -= 1.0;
    }

    /// Spends one extra attempt if that leaves at least `reserve` for more urgent ones, and returns
    /// whether it was spent.
    #[must_use]
    pub fn try_spend(&mut self, reserve: f64) -> bool {
        let enough = self.balance >= 1.0 + reserve;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
