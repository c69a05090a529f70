//! Retry budgets, which limit extra attempts to a share of a service's own traffic.

/// Greatest balance of a service at one node, in extra attempts, if the configuration doesn't limit
/// the extra attempts of the whole fleet.
pub const MAX_BALANCE: f64 = 10.0;

/// The budget of one service. Its balance is counted in extra attempts.
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

    /// Adds earned extra attempts, which may be fractions. The balance stays within `max`, or
    /// within 1 if that is greater.
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
        let is_sufficient = self.balance >= 1.0 + reserve;
        if is_sufficient {
            self.balance -= 1.0;
        }
        is_sufficient
    }
}
