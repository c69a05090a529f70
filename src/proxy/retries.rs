//! Retry budgets: at each node, or, where the configuration bounds extra attempts over the whole fleet,
//! in one part for each data centre.
//!
//! A part is held like that of a quota. Nodes tell its holder how many requests they took when they
//! ask, so that what one node does not need is there for another that meets a failing target.

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

/// Share of the extra attempts that the fleet may save up which is handed out; the rest covers
/// holders that change.
const GRANTED_SLACK: f64 = 0.55;

/// Share of what requests earn which is handed out: their holder hears of them late,
/// and which calls belong to a repeated run is an estimate.
const GRANTED_SHARE: f64 = 0.75;

/// Share of what may be saved up that is left for calls of targets: one that fails brings down the
/// request that waits for it.
const RESERVED_SHARE: f64 = 0.4;

value! {
    /// What an extra attempt is for.
    pub enum Purpose {
        /// A request of a caller.
        Request,
        /// A call of a target.
        Call,
        /// A call that is made in any case, by a run that was itself a repeat.
        Forced,
    }
}

impl Purpose {
    /// Reads what a node asks an extra attempt for.
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
    /// Requests of each service since the holder was last told.
    earned: Mutex<HashMap<String, u32>>,
    /// Budgets, or parts of them that this node holds for its data centre.
    budgets: Mutex<HashMap<String, RetryBudget>>,
}

/// Returns the key by which the holder of a service's budget is found.
#[must_use]
pub fn budget_key(service: &str) -> String {
    format!("retries of {service}")
}

impl RetryBudgets {
    /// Takes up that a request of a caller earns its share of a later repeat.
    pub fn earn(&self, service: &Service) {
        *lock(&self.earned).entry(service.name.clone()).or_default() += 1;
    }

    /// Takes one extra attempt from the budget, and tells whether there was one.
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

    /// Takes one extra attempt from what this node holds, after adding what requests have earned.
    pub fn spend_owned(
        &self,
        core: &Core,
        service: &Service,
        earned: u32,
        purpose: Purpose,
    ) -> bool {
        let (share, most, spared) = match service.retry_slack {
            0 => (service.retry_share, MAX_BALANCE, 0.0),
            slack => {
                let most = f64::from(slack) * GRANTED_SLACK / f64::from(share_count(core));
                (
                    service.retry_share * GRANTED_SHARE,
                    most,
                    RESERVED_SHARE * most,
                )
            }
        };
        let mut held = lock(&self.budgets);
        let budget = held
            .entry(service.name.clone())
            .or_insert_with(|| RetryBudget::new(most));
        budget.earn(share * f64::from(earned), most);
        match purpose {
            Purpose::Request => budget.try_spend(spared),
            Purpose::Call => budget.try_spend(0.0),
            Purpose::Forced => {
                budget.spend_forced();
                true
            }
        }
    }
}
