//! Since when a node has owned a share without interruption.
//!
//! Owners are found by rendezvous hashing among the nodes that are known to be alive, so that ownership changes
//! when they do. What a former owner remembers of a share does not include what others granted from it since;
//! see [docs/DESIGN.md](../../docs/DESIGN.md#buckets-that-change-owners).

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

/// After a pause of this length, in which the process may have been frozen, others may have taken over. It is shorter
/// than the time after which they do.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Number of periods that are remembered. A tenure that is longer counts from the earliest of them.
const MAX_PERIODS: usize = 64;

/// A time in which the set of live nodes did not change.
#[derive(Debug)]
struct Period {
    since: Instant,
    nodes: Vec<Arc<str>>,
}

/// The nodes of a data centre that one of them has known to be alive, over time.
#[derive(Debug, Default)]
pub struct Tenures {
    /// The latest period is the last one.
    periods: VecDeque<Period>,
    observed: Option<Instant>,
}

impl Tenures {
    /// Records which nodes are alive. Must be called at short intervals, since a pause ends all tenures.
    pub fn observe<'n>(&mut self, nodes: impl Iterator<Item = &'n Arc<str>> + Clone, now: Instant) {
        if self.has_paused(now) {
            self.periods.clear();
        }
        self.observed = Some(now);
        let last = self.periods.back();
        if last.is_some_and(|period| period.nodes.iter().eq(nodes.clone())) {
            return;
        }
        let nodes = nodes.cloned().collect();
        self.periods.push_back(Period { since: now, nodes });
        if self.periods.len() > MAX_PERIODS {
            self.periods.pop_front();
        }
    }

    fn has_paused(&self, now: Instant) -> bool {
        self.observed
            .is_none_or(|observed| now > observed + MAX_PAUSE)
    }

    /// Returns when the present tenure began if that was after `from`, and `None` if the node has been the owner
    /// ever since `from`. `owns` tells whether the node is the owner among the given nodes; if it isn't at present,
    /// the tenure begins now.
    #[must_use]
    pub fn began_after(
        &self,
        from: Instant,
        now: Instant,
        owns: impl Fn(&[Arc<str>]) -> bool,
    ) -> Option<Instant> {
        let mut began = now;
        if self.has_paused(now) {
            return Some(began);
        }
        for period in self.periods.iter().rev() {
            if !owns(&period.nodes) {
                break;
            }
            began = period.since;
            if began <= from {
                return None;
            }
        }
        Some(began)
    }
}
