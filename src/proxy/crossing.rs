//! Requests that leave their data centre: what nodes know of the demand in each, and the decision for one request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    board::{TargetView, View},
    clock::whole_millis,
    fleet::codec::{CentreDemand, ServiceDemand},
    policy::crossing::{ArrivalRate, Candidate, Demand, Forecast, Prices, Split},
    proxy::{attempt::Attempt, request_context::RequestContext},
};

/// How long the report of a node counts in the sum of its data centre; nodes report at least twice a second.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// Interval at which shares are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Change of the share that leaves which is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// Size of the responses of routes that are configured as large, as far as the price is concerned.
const LARGE_RESPONSE: u64 = 1_000_000;

/// Where a request may go.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Reach {
    /// Anywhere, by the fixed shares.
    Anywhere,
    /// To targets of its data centre.
    Home,
    /// To targets of this other data centre.
    Leaves(Arc<str>),
}

impl Reach {
    /// Returns whether a request may go to a target.
    pub(super) fn includes(&self, target: &TargetView) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Home => target.local,
            Self::Leaves(centre) => target.centre == *centre,
        }
    }
}

/// Demand by service.
type Demands = BTreeMap<String, Demand>;

/// What this node knows of the demand in the data centres, and which shares leave by it.
pub struct Crossing {
    /// `None` if requests leave by fixed shares.
    prices: Option<Prices>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Requests that this node's callers send, by service.
    arrivals: HashMap<String, ArrivalRate>,
    /// Reports of the nodes of this data centre by address, if this node is its delegate.
    reports: HashMap<String, (Instant, Demands)>,
    /// The demand in each data centre, and when it was measured.
    centres: BTreeMap<Arc<str>, (Instant, Demands)>,
    /// The shares that leave, by service.
    splits: HashMap<String, Shares>,
}

/// The shares of a service that leave.
struct Shares {
    split: Split,
    due: Instant,
    logged: f64,
}

impl Crossing {
    /// Creates the state of a node that knows of no demand.
    #[must_use]
    pub fn new(prices: Option<Prices>) -> Self {
        Self {
            prices,
            state: Mutex::default(),
        }
    }

    /// Returns whether requests leave by price.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.prices.is_some()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a caller of this node sent a request for a service.
    pub(super) fn record_arrival(&self, service: &str, now: Instant) {
        if !self.is_enabled() {
            return;
        }
        let mut state = self.state();
        match state.arrivals.get_mut(service) {
            Some(rate) => rate.record(now),
            None => {
                let mut rate = ArrivalRate::default();
                rate.record(now);
                state.arrivals.insert(service.to_owned(), rate);
            }
        }
    }

    /// Returns the demand at this node, whose targets have that of `targets`.
    #[must_use]
    pub fn own_demands(&self, targets: Vec<(String, Demand)>, now: Instant) -> Vec<ServiceDemand> {
        let mut demands = Demands::new();
        for (service, demand) in targets {
            add(&mut demands, &service, &demand);
        }
        for (service, rate) in &self.state().arrivals {
            let arrivals = rate.rate(now);
            let demand = Demand {
                arrivals,
                ..Demand::default()
            };
            add(&mut demands, service, &demand);
        }
        to_messages(&demands)
    }

    /// Records the report of a node of this data centre, whose delegate this node may be.
    pub fn record_report(&self, node: &str, demands: &[ServiceDemand], now: Instant) {
        if self.is_enabled() && !demands.is_empty() {
            let report = (now, from_messages(demands));
            self.state().reports.insert(node.to_owned(), report);
        }
    }

    /// Adds up the reports of the nodes of a data centre, whose delegate this node is.
    pub fn add_up(&self, centre: &str, now: Instant) {
        let mut state = self.state();
        state
            .reports
            .retain(|_, (at, _)| now < *at + REPORT_VALIDITY);
        let mut sum = Demands::new();
        for (_, demands) in state.reports.values() {
            for (service, demand) in demands {
                add(&mut sum, service, demand);
            }
        }
        state.centres.insert(centre.into(), (now, sum));
    }

    /// Returns the demand in all data centres that this node knows of, for an answer to another node.
    #[must_use]
    pub fn news(&self, now: Instant) -> Vec<CentreDemand> {
        let state = self.state();
        let news = |(name, (at, demands)): (&Arc<str>, &(Instant, Demands))| {
            let age = whole_millis(now.saturating_duration_since(*at)) + 1;
            CentreDemand {
                data_centre: name.to_string(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                services: to_messages(demands),
            }
        };
        state.centres.iter().map(news).collect()
    }

    /// Applies news in the answer to a pull that was sent at `sent`. Older news than what is known is ignored.
    pub fn apply_news(&self, news: &[CentreDemand], sent: Instant) {
        let mut state = self.state();
        for centre in news {
            let age = Duration::from_millis(u64::from(centre.age_ms));
            let Some(at) = sent.checked_sub(age) else {
                continue;
            };
            let known = state.centres.get(centre.data_centre.as_str());
            if known.is_none_or(|(known_at, _)| *known_at < at) {
                let demands = from_messages(&centre.services);
                let name = centre.data_centre.as_str().into();
                state.centres.insert(name, (at, demands));
            }
        }
    }

    /// Returns the forecast for the targets of a service in a data centre.
    fn forecast(&self, centre: &str, service: &str, now: Instant) -> Option<Forecast> {
        let state = self.state();
        let (at, demands) = state.centres.get(centre)?;
        let demand = *demands.get(service)?;
        let age = now.saturating_duration_since(*at);
        let forecast = Forecast { demand, age };
        (!forecast.is_stale()).then_some(forecast)
    }

    /// Decides where a request goes that was not sent anywhere yet. `draw` is uniform in 0 to 1 and stays the same
    /// for one request.
    pub(super) fn decide(&self, context: &RequestContext, body: Option<usize>, draw: f64) -> Reach {
        let core = &context.core;
        let (Some(prices), true) = (&self.prices, context.rank.external) else {
            return Reach::Anywhere;
        };
        let service = context.matched.service.name.as_str();
        let now = core.clock.now();
        let home = core.settings.data_centre.as_str();
        let view = core.view.load();
        let Some(own) = self.forecast(home, service, now) else {
            return Reach::Anywhere;
        };
        if !has_local_target(&view, service) {
            return Reach::Anywhere;
        }
        let others = self.other_forecasts(&view, service, now);
        let large = u64::from(context.matched.is_large()) * LARGE_RESPONSE;
        let candidate = Candidate {
            objective: context.objective_left(),
            deadline: context.remaining(),
            bytes: body.unwrap_or(0) as u64 + large,
            streamed: body.is_none(),
        };
        let mut state = self.state();
        let shares = state.splits.entry(service.to_owned());
        let shares = shares.or_insert_with(|| Shares {
            split: Split::default(),
            due: now,
            logged: 0.0,
        });
        if now >= shares.due {
            shares.due = now + UPDATE_INTERVAL;
            shares.split.update(&own, &others, now);
            log_change(shares, service, &own, &others);
            core.metrics.record_shares(service, &shares.split);
        }
        let found = shares.split.choose(&candidate, prices, &own, &others, draw);
        found.map_or(Reach::Home, Reach::Leaves)
    }

    /// Returns the forecasts for other data centres in which a service has targets.
    fn other_forecasts(
        &self,
        view: &View,
        service: &str,
        now: Instant,
    ) -> Vec<(Arc<str>, Forecast)> {
        let targets = view.services.get(service).into_iter();
        let remote = targets.flat_map(|s| &s.targets).filter(|t| !t.local);
        let mut names: Vec<&Arc<str>> = remote.map(|t| &t.centre).collect();
        names.sort_unstable();
        names.dedup();
        let forecast =
            |name: &Arc<str>| Some((Arc::clone(name), self.forecast(name, service, now)?));
        names.into_iter().filter_map(forecast).collect()
    }

    /// Returns whether an attempt from another data centre is refused because this one's own callers need all targets.
    /// Attempts that may wait have nowhere else to go. Calls and repeats are served as at home.
    pub(super) fn refuses_guest(
        &self,
        view: &View,
        centre: &str,
        attempt: &Attempt,
        now: Instant,
    ) -> bool {
        let ingress = attempt.id.ingress;
        let may_be_refused = attempt.wait.is_zero() && attempt.rank.external && !attempt.repeat;
        self.is_enabled()
            && may_be_refused
            && view.local_nodes.iter().all(|n| n.incarnation != ingress)
            && self
                .forecast(centre, &attempt.service, now)
                .is_some_and(|own| own.surplus() > 0.0)
    }
}

fn has_local_target(view: &View, service: &str) -> bool {
    let service = view.services.get(service);
    service.is_some_and(|s| s.targets.iter().any(|t| t.local))
}

/// Logs a noticeable change of the share that leaves, with what it was computed from.
fn log_change(shares: &mut Shares, service: &str, own: &Forecast, others: &[(Arc<str>, Forecast)]) {
    let share = shares.split.total();
    if (share - shares.logged).abs() < LOGGED_CHANGE {
        return;
    }
    let previous = std::mem::replace(&mut shares.logged, share);
    let (arrivals, surplus) = (own.demand.arrivals, own.surplus());
    let (wait_ms, age_ms) = (whole_millis(own.wait()), whole_millis(own.age));
    let room: f64 = others.iter().map(|(_, f)| f.room()).sum();
    spdlog::info!("share of requests that leaves the data centre changed", kv: { service, share, previous, arrivals, surplus, wait_ms, age_ms, room });
}

/// Adds the demand of one node to the sum of a service.
fn add(sum: &mut Demands, service: &str, demand: &Demand) {
    match sum.get_mut(service) {
        Some(sum) => sum.add(demand),
        None => {
            sum.insert(service.to_owned(), *demand);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversions saturate"
)]
fn to_messages(demands: &Demands) -> Vec<ServiceDemand> {
    let message = |(service, demand): (&String, &Demand)| ServiceDemand {
        service: service.clone(),
        arrivals: (demand.arrivals * 1e3).round() as u32,
        load: demand.load.round() as u32,
        slots: demand.slots.round() as u32,
        slot_ms: demand.slot_time.as_millis() as u32,
    };
    demands.iter().map(message).collect()
}

fn from_messages(messages: &[ServiceDemand]) -> Demands {
    let demand = |m: &ServiceDemand| {
        let demand = Demand {
            arrivals: f64::from(m.arrivals) / 1e3,
            load: f64::from(m.load),
            slots: f64::from(m.slots),
            slot_time: Duration::from_millis(u64::from(m.slot_ms)),
        };
        (m.service.clone(), demand)
    };
    messages.iter().map(demand).collect()
}
