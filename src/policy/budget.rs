//! Retry budgets: extra attempts are a share of a service's own traffic.

/// Extra attempts that a quiet service may save up at one node, where its configuration gives no
/// number for the whole fleet.
pub const MOST_SAVED: f64 = 10.0;

/// The budget of one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Starts with all that may be saved up.
    #[must_use]
    pub fn new(most: f64) -> Self {
        Self { saved: most }
    }

    /// Adds the share that one request earns; no more than `most` is saved up.
    pub fn earn(&mut self, share: f64, most: f64) {
        self.saved = (self.saved + share).min(most.max(1.0));
    }

    /// Counts an extra attempt that is made in any case; later ones make up for it.
    pub fn force(&mut self) {
        self.saved -= 1.0;
    }

    /// Takes one extra attempt, if there is one; `spared` are left for more urgent ones.
    #[must_use]
    pub fn spend(&mut self, spared: f64) -> bool {
        let enough = self.saved >= 1.0 + spared;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
