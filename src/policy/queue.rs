//! The short queue of requests that wait for a target. More urgent ranks go first, and within a rank
//! organisations are served fairly by deficit round robin.

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
        deadline: Instant,
        item: T,
        capacity: usize,
    ) -> Option<T> {
        let queue = self.ranks.entry(rank).or_default();
        let dropped = queue.push(organisation, weight, deadline, item, usize::MAX);
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

    /// Removes and returns the next request whose deadline is ahead. Earlier ones, whose deadlines have
    /// passed, are removed as well and passed to `late`.
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
    /// The requests with their deadlines.
    items: VecDeque<(Instant, T)>,
}

/// A queue of requests that is fair between organisations.
pub struct FairQueue<T> {
    flows: HashMap<String, Flow<T>>,
    /// Organisations with waiting requests, the one to be served next first.
    active: VecDeque<String>,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            active: VecDeque::new(),
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. If `capacity` requests already wait, the newest of the longest flow, relative to
    /// its weight, is removed and returned.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u32,
        deadline: Instant,
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
        flow.items.push_back((deadline, item));
        self.len += 1;
        if self.len <= capacity {
            return None;
        }
        self.drop_newest_of_longest()
    }

    fn drop_newest_of_longest(&mut self) -> Option<T> {
        let longest = self.active.iter().max_by_key(|name| {
            let flow = &self.flows[*name];
            flow.items.len() * 1_000 / flow.weight as usize
        })?;
        let longest = longest.clone();
        let flow = self.flows.get_mut(&longest)?;
        let (_, item) = flow.items.pop_back()?;
        self.len -= 1;
        if flow.items.is_empty() {
            self.remove_flow(&longest);
        }
        Some(item)
    }

    fn remove_flow(&mut self, name: &str) {
        self.active.retain(|n| n != name);
        self.flows.remove(name);
    }

    /// Removes and returns the next request whose deadline is ahead. Earlier ones, whose deadlines have
    /// passed, are removed as well and passed to `late`.
    pub fn pop(&mut self, now: Instant, mut late: impl FnMut(T)) -> Option<T> {
        while let Some(name) = self.active.front().cloned() {
            let flow = self.flows.get_mut(&name)?;
            if flow.deficit < COST {
                flow.deficit += flow.weight;
            }
            flow.deficit -= COST;
            let (deadline, item) = flow.items.pop_front()?;
            self.len -= 1;
            let (is_empty, is_exhausted) = (flow.items.is_empty(), flow.deficit < COST);
            if is_empty {
                self.remove_flow(&name);
            } else if is_exhausted {
                self.active.rotate_left(1);
            }
            if now < deadline {
                return Some(item);
            }
            late(item);
        }
        None
    }
}
