//! The VMs that count for freshness, how many of them make a quorum, and how fast they may change.
//!
//! Two rosters of which one follows the other differ by at most [`batch`] VMs, and a quorum is so
//! much more than half that quorums of both still share a VM; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#freshness).

use crate::config::Document;

/// One change may replace one VM in this many.
const CHANGE_DIVISOR: usize = 16;

/// Returns how many VMs one change of a roster may add and remove together.
#[must_use]
pub fn max_change(roster: usize) -> usize {
    if roster == 0 {
        // Nobody is fresh through an empty roster, so nobody can be left behind by it.
        return usize::MAX;
    }
    (roster / CHANGE_DIVISOR).max(1)
}

/// Returns how many VMs of a roster make a quorum.
#[must_use]
pub fn quorum(roster: usize) -> usize {
    if roster == 0 {
        return usize::MAX;
    }
    roster / 2 + max_change(roster)
}

/// Removes and then adds VMs, as many as one change may, and tells whether anything changed.
///
/// The caller must know that the document's last change of the roster is in force.
pub fn update_roster(document: &mut Document, generation: u64, add: &[String], remove: &[String]) -> bool {
    let mut left = max_change(document.roster.len());
    let before = document.roster.clone();
    document.roster.retain(|vm| {
        let goes = left > 0 && remove.contains(vm);
        left -= usize::from(goes);
        !goes
    });
    for vm in add {
        if left > 0 && !document.roster.contains(vm) {
            document.roster.push(vm.clone());
            left -= 1;
        }
    }
    document.roster.sort();
    let changed = document.roster != before;
    if changed {
        document.rostered = generation;
    }
    changed
}
