//! The short queue of requests that wait for a target. More urgent ranks go first. Within a rank, requests
//! that can still meet their objective go before those that can only be late, and organisations are served
//! fairly by deficit round robin.
//!
//! Load pattern: during a burst the queue grows longer than the objective allows. In order of arrival, nearly all
//! requests would then be late; this way, only as many are as the burst exceeds the capacity.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

value! {
    /// The urgency of a request. The smallest rank goes first.
    pub struct Rank {
        /// Whether the request comes from outside the fleet. A call of a target goes first, since the
        /// request for which the target makes it occupies a slot until it is answered.
        pub external: bool,
        /// The organisation's priority.
        pub organisation: u32,
        /// The route's priority.
        pub route: u32,
    }
}

value! {
    /// Until when it is useful to start a request.
    pub struct StartLimits {
        /// Until when the request can meet its objective.
        pub timely: Instant,
        /// Until when it is of any use to start the request.
        pub last: Instant,
    }
}

/// Share of the time from `timely` to `last` after which little of it is left.
const URGENT_SHARE: f64 = 0.7;

impl StartLimits {
    /// Returns when little of the time is left in which it is of use to start the request.
    fn urgent(&self) -> Instant {
        let span = self.last.saturating_duration_since(self.timely);
        self.timely + span.mul_f64(URGENT_SHARE)
    }
}

/// A queue of requests by rank and organisation.
pub struct RankedQueue<T> {
    ranks: BTreeMap<Rank, FairQueue<T>>,
}

impl<T> Default for RankedQueue<T> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
        }
    }
}

impl<T> RankedQueue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranks.values().map(FairQueue::len).sum()
    }

    /// Returns the number of waiting requests that go before a new one of this rank.
    #[must_use]
    pub fn count_ahead(&self, rank: Rank) -> usize {
        self.ranks.range(..=rank).map(|(_, q)| q.len()).sum()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Adds a request. If `capacity` requests already wait, one of the least urgent is removed and
    /// returned.
    pub fn push(
        &mut self,
        rank: Rank,
        organisation: &str,
        weight: u32,
        limits: StartLimits,
        item: T,
        capacity: usize,
    ) -> Option<T> {
        let queue = self.ranks.entry(rank).or_default();
        let dropped = queue.push(organisation, weight, limits, item, usize::MAX);
        debug_assert!(dropped.is_none());
        if self.len() <= capacity {
            return None;
        }
        let mut last = self.ranks.last_entry()?;
        let dropped = last.get_mut().drop_newest_of_longest();
        if last.get().is_empty() {
            last.remove();
        }
        dropped
    }

    /// Removes and returns the next request that it is of use to start. Those for which it is too late are removed
    /// as well and passed to `late`.
    pub fn pop(&mut self, now: Instant, mut late: impl FnMut(T)) -> Option<T> {
        while let Some(mut first) = self.ranks.first_entry() {
            let found = first.get_mut().pop(now, &mut late);
            if first.get().is_empty() {
                first.remove();
            }
            if found.is_some() {
                return found;
            }
        }
        None
    }
}

/// Cost of one request, charged against the deficit of its flow.
const COST: u32 = 1;

/// The waiting requests of one organisation.
struct Flow<T> {
    weight: u32,
    /// Requests that the organisation may still have served in its current turn.
    deficit: u32,
    items: VecDeque<(StartLimits, T)>,
}

/// A queue of requests that is fair between organisations.
pub struct FairQueue<T> {
    flows: HashMap<String, Flow<T>>,
    /// Organisations with waiting requests, the one to be served next first.
    active: VecDeque<String>,
    /// Requests that can only be late. They wait for a moment without any other request, or until little of the
    /// time is left in which it is of use to start them; then every other start is theirs.
    late: VecDeque<(StartLimits, T)>,
    /// Whether a late request of which little time is left starts next.
    late_turn: bool,
    /// Number of requests of all flows.
    timely_len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            active: VecDeque::new(),
            late: VecDeque::new(),
            late_turn: false,
            timely_len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.timely_len + self.late.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. If `capacity` requests already wait, the newest of the longest flow, relative to
    /// its weight, is removed and returned.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u32,
        limits: StartLimits,
        item: T,
        capacity: usize,
    ) -> Option<T> {
        let flow = self
            .flows
            .entry(organisation.to_owned())
            .or_insert_with(|| Flow {
                weight: weight.max(1),
                deficit: 0,
                items: VecDeque::new(),
            });
        flow.weight = weight.max(1);
        if flow.items.is_empty() {
            self.active.push_back(organisation.to_owned());
        }
        flow.items.push_back((limits, item));
        self.timely_len += 1;
        if self.len() <= capacity {
            return None;
        }
        self.drop_newest_of_longest()
    }

    /// Removes a request that can only be late, or else the newest of the longest flow.
    fn drop_newest_of_longest(&mut self) -> Option<T> {
        if let Some((_, item)) = self.late.pop_back() {
            return Some(item);
        }
        let longest = self.active.iter().max_by_key(|name| {
            let flow = &self.flows[*name];
            flow.items.len() * 1_000 / flow.weight as usize
        })?;
        let longest = longest.clone();
        let flow = self.flows.get_mut(&longest)?;
        let (_, item) = flow.items.pop_back()?;
        self.timely_len -= 1;
        if flow.items.is_empty() {
            self.remove_flow(&longest);
        }
        Some(item)
    }

    fn remove_flow(&mut self, name: &str) {
        self.active.retain(|n| n != name);
        self.flows.remove(name);
    }

    /// Removes and returns the next request that it is of use to start. Those for which it is too late are removed
    /// as well and passed to `late`.
    pub fn pop(&mut self, now: Instant, mut late: impl FnMut(T)) -> Option<T> {
        let turn = std::mem::replace(&mut self.late_turn, false);
        if turn && let Some(item) = self.pop_late(now, |l| now >= l.urgent(), &mut late) {
            return Some(item);
        }
        while let Some((limits, item)) = self.pop_flows() {
            if now < limits.timely {
                self.late_turn = true;
                return Some(item);
            }
            self.late.push_back((limits, item));
        }
        self.pop_late(now, |_| true, &mut late)
    }

    /// Removes and returns the first request that can only be late, if `wanted` returns true for it.
    fn pop_late(
        &mut self,
        now: Instant,
        wanted: impl Fn(&StartLimits) -> bool,
        expired: &mut impl FnMut(T),
    ) -> Option<T> {
        while self.late.front().is_some_and(|(limits, _)| wanted(limits)) {
            let (limits, item) = self.late.pop_front()?;
            if now < limits.last {
                return Some(item);
            }
            expired(item);
        }
        None
    }

    /// Removes and returns the next request of the organisation whose turn it is.
    fn pop_flows(&mut self) -> Option<(StartLimits, T)> {
        let name = self.active.front().cloned()?;
        let flow = self.flows.get_mut(&name)?;
        if flow.deficit < COST {
            flow.deficit += flow.weight;
        }
        flow.deficit -= COST;
        let next = flow.items.pop_front()?;
        self.timely_len -= 1;
        let (is_empty, is_exhausted) = (flow.items.is_empty(), flow.deficit < COST);
        if is_empty {
            self.remove_flow(&name);
        } else if is_exhausted {
            self.active.rotate_left(1);
        }
        Some(next)
    }
}
