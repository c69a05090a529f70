//! A short queue before a target: the more urgent first, and fair over organisations by deficit
//! round robin among those of one rank.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

value! {
    /// How urgent a request is; the smallest rank goes first.
    pub struct Rank {
        /// Whether it comes from outside. A call of a target goes first: the request for which the
        /// target makes it holds a slot meanwhile.
        pub external: bool,
        /// The organisation's priority.
        pub organisation: u32,
        /// The route's priority.
        pub route: u32,
    }
}

/// Requests that wait, by rank and organisation.
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
    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranks.values().map(FairQueue::len).sum()
    }

    /// Tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Adds a request. When `most` already wait, one of the least urgent goes.
    pub fn push(
        &mut self,
        rank: Rank,
        organisation: &str,
        weight: u32,
        deadline: Instant,
        item: T,
        most: usize,
    ) -> Option<T> {
        let queue = self.ranks.entry(rank).or_default();
        let dropped = queue.push(organisation, weight, deadline, item, usize::MAX);
        debug_assert!(dropped.is_none());
        if self.len() <= most {
            return None;
        }
        let mut last = self.ranks.last_entry()?;
        let dropped = last.get_mut().drop_newest_of_longest();
        if last.get().is_empty() {
            last.remove();
        }
        dropped
    }

    /// Takes the next request whose deadline is still ahead; the late ones go to `late`.
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

/// What a waiting request is charged.
const COST: u32 = 1;

struct Flow<T> {
    weight: u32,
    deficit: u32,
    items: VecDeque<(Instant, T)>,
}

/// Requests that wait, by organisation.
pub struct FairQueue<T> {
    flows: HashMap<String, Flow<T>>,
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
    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. When `most` already wait, the newest of the longest lane, by weight, goes.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u32,
        deadline: Instant,
        item: T,
        most: usize,
    ) -> Option<T> {
        let lane = self
            .flows
            .entry(organisation.to_owned())
            .or_insert_with(|| Flow {
                weight: weight.max(1),
                deficit: 0,
                items: VecDeque::new(),
            });
        lane.weight = weight.max(1);
        if lane.items.is_empty() {
            self.active.push_back(organisation.to_owned());
        }
        lane.items.push_back((deadline, item));
        self.len += 1;
        if self.len <= most {
            return None;
        }
        self.drop_newest_of_longest()
    }

    fn drop_newest_of_longest(&mut self) -> Option<T> {
        let longest = self.active.iter().max_by_key(|name| {
            let lane = &self.flows[*name];
            lane.items.len() * 1_000 / lane.weight as usize
        })?;
        let longest = longest.clone();
        let lane = self.flows.get_mut(&longest)?;
        let (_, item) = lane.items.pop_back()?;
        self.len -= 1;
        if lane.items.is_empty() {
            self.remove_flow(&longest);
        }
        Some(item)
    }

    fn remove_flow(&mut self, name: &str) {
        self.active.retain(|n| n != name);
        self.flows.remove(name);
    }

    /// Takes the next request whose deadline is still ahead; the late ones go to `late`.
    pub fn pop(&mut self, now: Instant, mut late: impl FnMut(T)) -> Option<T> {
        while let Some(name) = self.active.front().cloned() {
            let lane = self.flows.get_mut(&name)?;
            if lane.deficit < COST {
                lane.deficit += lane.weight;
            }
            lane.deficit -= COST;
            let (deadline, item) = lane.items.pop_front()?;
            self.len -= 1;
            let (empty, spent) = (lane.items.is_empty(), lane.deficit < COST);
            if empty {
                self.remove_flow(&name);
            } else if spent {
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
