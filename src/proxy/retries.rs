//! Retry budgets: one at each node, or, where the configuration limits extra attempts over the whole
//! fleet, one share for each data centre.
//!
//! A share has an owner like that of a quota. Nodes report with each draw how many requests they have
//! accepted, so that what one node doesn't need is available to another that meets a failing target.

use std::{collections::HashMap, sync::Mutex};

use crate::{
    config::Service,
    fleet::codec::DrawRequest,
    node::Core,
    policy::budget::{MAX_BALANCE, RetryBudget},
    proxy::{
        quota::{DrawDecision, ask_share_owner, share_count},
        rates::lock,
    },
};

/// Fraction of the fleet's greatest balance that is granted. The rest covers changes of owners.
const BALANCE_FRACTION: f64 = 0.55;

/// Fraction of the extra attempts earned by requests that is granted, since owners receive the reports
/// late, and the number of calls that belong to a repeated run is an estimate.
const EARNED_FRACTION: f64 = 0.75;

/// Fraction of the greatest balance that is reserved for calls of targets, since a call that fails
/// makes the request that waits for it fail.
const RESERVED_FRACTION: f64 = 0.4;

value! {
    /// The purpose of an extra attempt.
    pub enum Purpose {
        /// To repeat a request of a caller.
        Request,
        /// To repeat a call of a target.
        Call,
        /// To make a call that is made in any case, since the run that makes it is itself a repeat.
        Forced,
    }
}

impl Purpose {
    /// Returns the purpose for which another node draws an extra attempt.
    #[must_use]
    pub fn from_request(request: &DrawRequest) -> Self {
        match (request.forced, request.urgent) {
            (true, _) => Self::Forced,
            (false, true) => Self::Call,
            (false, false) => Self::Request,
        }
    }
}

/// The retry budgets of a node.
#[derive(Default)]
pub struct RetryBudgets {
    /// Number of requests of each service that have not been added to a budget or reported to an owner
    /// yet.
    earned: Mutex<HashMap<String, u32>>,
    /// Budgets of this node, or shares that it owns for its data centre, by service.
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

/// Returns the key that determines the owner of a service's budget.
#[must_use]
pub fn budget_key(service: &str) -> String {
    format!("retries of {service}")
}

impl RetryBudgets {
    /// Records a request of a caller, which earns a fraction of an extra attempt.
    pub fn earn(&self, service: &Service) {
        *lock(&self.earned).entry(service.name.clone()).or_default() += 1;
    }

    /// Spends one extra attempt of the service's budget, here or at the owner of the share, and returns
    /// whether it may be made.
    pub async fn try_spend(&self, core: &Core, service: &Service, purpose: Purpose) -> bool {
        let earned = lock(&self.earned).remove(&service.name).unwrap_or_default();
        if service.retry_slack == 0 {
            return self.spend_owned(core, service, earned, purpose);
        }
        let request = DrawRequest {
            organisation: String::new(),
            service: service.name.clone(),
            earned,
            forced: purpose == Purpose::Forced,
            urgent: purpose == Purpose::Call,
            ..DrawRequest::default()
        };
        match ask_share_owner(core, &budget_key(&service.name), &request).await {
            DrawDecision::Decided(granted) => granted,
            DrawDecision::DecideHere(_) | DrawDecision::NoAnswer => {
                self.spend_owned(core, service, earned, purpose)
            }
        }
    }

    /// Adds what `earned` requests have earned to this node's budget or share, spends one extra attempt
    /// of it, and returns whether it may be made.
    pub fn spend_owned(
        &self,
        core: &Core,
        service: &Service,
        earned: u32,
        purpose: Purpose,
    ) -> bool {
        let (fraction, max, reserve) = match service.retry_slack {
            0 => (service.retry_share, MAX_BALANCE, 0.0),
            slack => {
                let max = f64::from(slack) * BALANCE_FRACTION / f64::from(share_count(core));
                (
                    service.retry_share * EARNED_FRACTION,
                    max,
                    RESERVED_FRACTION * max,
                )
            }
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.name.clone())
            .or_insert_with(|| RetryBudget::new(max));
        budget.earn(fraction * f64::from(earned), max);
        match purpose {
            Purpose::Request => budget.try_spend(reserve),
            Purpose::Call => budget.try_spend(0.0),
            Purpose::Forced => {
                budget.spend_forced();
                true
            }
        }
    }
}
