//! Which share of a service's requests leaves a data centre, where to, and which requests those are.
//!
//! Load patterns: one data centre is short of targets while others have room, demand moves between data centres, or
//! all of them are full; see [docs/decisions/8-crossing.md](../../docs/decisions/8-crossing.md).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Share of the capacity beyond which arrivals are a surplus.
const FULL: f64 = 1.0;

/// Share of the capacity up to which there is room for guests. The band up to [`FULL`] is for changes of what own
/// callers ask for, and is the hysteresis between receiving and sending.
const ROOM: f64 = 0.95;

/// Guests that are sent for each that there is room for. Some find no free slot, and are refused.
const GUESTS: f64 = 1.25;

/// Time within which a queue should be worked off.
const DRAIN: Duration = Duration::from_secs(1);

/// Age up to which news counts fully, and the time after it in which it comes to count for nothing.
const RECENT: Duration = Duration::from_secs(2);
const FADE: Duration = Duration::from_secs(6);

/// Time in which a share approaches a new value if the news is new.
const SETTLE: Duration = Duration::from_millis(300);

/// Smallest share that is used, so that noise moves no requests.
const MIN_SHARE: f64 = 0.02;

/// Part of the price that a gain must exceed before any request leaves; from that much above the price, all of the
/// share does.
const PRICE_BAND: f64 = 0.5;

/// Time constant of the measured rate of arrivals.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_500);

data! {
    /// The operator's prices, as shares of what a response within the objective is worth.
    pub struct Prices {
        /// Price of one crossing.
        pub crossing: f64,
        /// Price of each megabyte of a body that crosses.
        pub megabyte: f64,
        /// What a late response is worth.
        pub late: f64,
        /// Usual time to another data centre and back.
        pub round_trip: Duration,
    }
}

/// What the targets of a service in one data centre have to do, and can do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Requests a second that callers of this data centre send.
    pub arrivals: f64,
    /// Requests that run or wait.
    pub load: f64,
    /// Requests that run at once.
    pub slots: f64,
    /// Usual time that a request occupies a slot; zero while unknown.
    pub slot_time: Duration,
}

impl Demand {
    /// Adds the demand at other targets of the service in this data centre.
    pub fn add(&mut self, other: &Self) {
        let busy =
            self.slots * self.slot_time.as_secs_f64() + other.slots * other.slot_time.as_secs_f64();
        // Targets at which no request has ended say nothing about the slot time.
        let timed = |d: &Self| if d.slot_time.is_zero() { 0.0 } else { d.slots };
        let slots = timed(self) + timed(other);
        self.slot_time = match slots > 0.0 {
            true => Duration::from_secs_f64(busy / slots),
            false => Duration::ZERO,
        };
        self.arrivals += other.arrivals;
        self.load += other.load;
        self.slots += other.slots;
    }
}

/// The demand in a data centre, and how old the news of it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// The demand.
    pub demand: Demand,
    /// The age of the news.
    pub age: Duration,
}

impl Forecast {
    /// Returns the requests a second that the targets can run; `None` while that is unknown.
    fn capacity(&self) -> Option<f64> {
        let seconds = self.demand.slot_time.as_secs_f64();
        (seconds > 0.0).then(|| self.demand.slots / seconds)
    }

    /// Returns the number of waiting requests.
    fn backlog(&self) -> f64 {
        (self.demand.load - self.demand.slots).max(0.0)
    }

    /// Returns the requests a second that have to start for the queue to be worked off in time. The older the news
    /// is, the less a queue may change the shares, which would swing otherwise.
    fn required(&self) -> f64 {
        self.demand.arrivals + self.backlog() / (DRAIN + 2 * self.age).as_secs_f64()
    }

    /// Returns the forecast with the slot time of `home` if no request has ended here, as after a long idle time.
    fn assume(&self, home: &Self) -> Self {
        let mut forecast = *self;
        if forecast.demand.slot_time.is_zero() {
            forecast.demand.slot_time = home.demand.slot_time;
        }
        forecast
    }

    /// Returns how far the news counts, 0 to 1.
    fn trust(&self) -> f64 {
        let past = self.age.saturating_sub(RECENT).as_secs_f64();
        (1.0 - past / FADE.as_secs_f64()).max(0.0)
    }

    /// Returns how long a new request waits behind all others.
    #[must_use]
    pub fn wait(&self) -> Duration {
        match self.capacity() {
            Some(capacity) if capacity > 0.0 => Duration::from_secs_f64(self.backlog() / capacity),
            _ => Duration::ZERO,
        }
    }

    /// Returns the requests a second that the data centre can't serve in time.
    #[must_use]
    pub fn surplus(&self) -> f64 {
        let above = |capacity: f64| (self.required() - FULL * capacity).max(0.0);
        self.capacity().map_or(0.0, above) * self.trust()
    }

    /// Returns the requests a second that the data centre can serve beside those of its own callers.
    #[must_use]
    pub fn room(&self) -> f64 {
        let below = |capacity: f64| GUESTS * (ROOM * capacity - self.required()).max(0.0);
        self.capacity().map_or(0.0, below) * self.trust()
    }

    /// Returns whether the news is too old to decide anything by it.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.age >= RECENT + FADE
    }
}

/// Returns the shares of the requests of `home` that should leave for each of the others.
#[must_use]
pub fn shares(home: &Forecast, others: &[Forecast]) -> Vec<f64> {
    let room: f64 = others.iter().map(Forecast::room).sum();
    let surplus = home.surplus();
    if room <= 0.0 || surplus <= 0.0 || home.demand.arrivals <= 0.0 {
        return vec![0.0; others.len()];
    }
    let claimed: f64 = surplus + others.iter().map(Forecast::surplus).sum::<f64>();
    let leaving = surplus * (room / claimed).min(1.0);
    let share = (leaving / home.demand.arrivals).min(1.0);
    others.iter().map(|o| share * o.room() / room).collect()
}

/// The damped shares of one service that leave for other data centres.
#[derive(Debug, Clone, Default)]
pub struct Split {
    shares: Vec<(Arc<str>, f64)>,
    updated: Option<Instant>,
}

impl Split {
    /// Moves the shares towards those that the forecasts call for, more slowly the older the news is.
    pub fn update(&mut self, home: &Forecast, others: &[(Arc<str>, Forecast)], now: Instant) {
        let forecasts: Vec<Forecast> = others.iter().map(|(_, f)| f.assume(home)).collect();
        let elapsed = self
            .updated
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let wanted = shares(home, &forecasts);
        let moved = |((name, forecast), wanted): (&(Arc<str>, Forecast), f64)| {
            let settle = SETTLE + home.age.max(forecast.age);
            let weight = 1.0 - (-elapsed.as_secs_f64() / settle.as_secs_f64()).exp();
            let share = self.share(name);
            (Arc::clone(name), share + weight * (wanted - share))
        };
        self.shares = others.iter().zip(wanted).map(moved).collect();
    }

    /// Returns the shares that leave, by data centre.
    #[must_use]
    pub fn shares(&self) -> &[(Arc<str>, f64)] {
        &self.shares
    }

    /// Returns the share that leaves for a data centre.
    #[must_use]
    pub fn share(&self, centre: &str) -> f64 {
        let found = self.shares.iter().find(|(name, _)| **name == *centre);
        found.map_or(0.0, |(_, share)| *share)
    }

    /// Returns the share that leaves.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.shares.iter().map(|(_, share)| share).sum()
    }

    /// Returns the data centre that a request leaves for, or `None` if it stays. `draw` is uniform in 0 to 1.
    #[must_use]
    pub fn choose(
        &self,
        request: &Candidate,
        prices: &Prices,
        home: &Forecast,
        others: &[(Arc<str>, Forecast)],
        draw: f64,
    ) -> Option<Arc<str>> {
        if request.stays() || self.total() < MIN_SHARE {
            return None;
        }
        let mut passed = 0.0;
        others.iter().find_map(|(name, forecast)| {
            passed += self.share(name) * request.inclination(prices, home, forecast);
            (draw < passed).then(|| Arc::clone(name))
        })
    }
}

data! {
    /// What the decision depends on for one request.
    pub struct Candidate {
        /// The part of the objective that remains; zero without one.
        pub objective: Duration,
        /// The time until the deadline.
        pub deadline: Duration,
        /// Size of the bodies that would cross, as far as known.
        pub bytes: u64,
        /// Whether the body is still in transit, so that it can be sent only once.
        pub streamed: bool,
    }
}

impl Candidate {
    /// Returns whether the request stays whatever the forecasts: a guest that is refused comes back, which a body in
    /// transit can't.
    fn stays(&self) -> bool {
        self.streamed
    }

    /// Returns how far the gain exceeds the price, from 0 (the request stays) to 1 (it leaves within the share).
    fn inclination(&self, prices: &Prices, home: &Forecast, other: &Forecast) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "bodies are far below 2^52 bytes"
        )]
        let megabytes = self.bytes as f64 / 1e6;
        let price = prices.crossing + prices.megabyte * megabytes;
        let there = self.worth(prices, &other.assume(home), prices.round_trip);
        let gain = there - self.worth(prices, home, Duration::ZERO);
        let excess = gain - (1.0 - PRICE_BAND) * price;
        (excess / (2.0 * PRICE_BAND * price).max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Returns what the response is worth that is expected from a data centre.
    fn worth(&self, prices: &Prices, place: &Forecast, travel: Duration) -> f64 {
        let (wait, work) = (place.wait(), place.demand.slot_time + travel);
        let timely = match self.objective.is_zero() {
            true => 0.0,
            false => chance(self.objective, wait, work),
        };
        let served = chance(self.deadline, wait, work);
        match self.objective.is_zero() {
            true => served,
            false => timely + prices.late * (served - timely).max(0.0),
        }
    }
}

/// Returns the chance that a response comes within `limit`. Waits are spread as widely as their mean is long, since
/// the queues of single targets differ.
fn chance(limit: Duration, wait: Duration, work: Duration) -> f64 {
    match limit.checked_sub(work) {
        None => 0.0,
        Some(_) if wait.is_zero() => 1.0,
        Some(left) => 1.0 - (-left.as_secs_f64() / wait.as_secs_f64()).exp(),
    }
}

/// The rate at which requests arrive, as a moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    rate: f64,
    updated: Option<Instant>,
}

impl ArrivalRate {
    /// Records one arrival.
    pub fn record(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / ARRIVAL_WINDOW.as_secs_f64();
        self.updated = Some(now);
    }

    /// Returns the arrivals a second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-elapsed.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }
}
