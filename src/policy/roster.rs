//! The roster of VMs that count for freshness: the size of a quorum, and changes of the roster.
//!
//! Two consecutive rosters differ by at most [`max_change`] VMs. A quorum is so much larger than half
//! of the roster that any quorum of one shares a VM with any quorum of the other; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#freshness).

use crate::config::Document;

/// One change may add or remove one VM for each this many VMs of the roster, but always at least one.
const CHANGE_DIVISOR: usize = 16;

/// Returns the greatest number of VMs that one change of a roster may add and remove together.
#[must_use]
pub fn max_change(roster: usize) -> usize {
    if roster == 0 {
        // No node can be fresh through contact with an empty roster, so any change of it is safe.
        return usize::MAX;
    }
    (roster / CHANGE_DIVISOR).max(1)
}

/// Returns how many VMs of a roster are a quorum. An empty roster has no quorum,
/// which `usize::MAX` expresses.
#[must_use]
pub fn quorum(roster: usize) -> usize {
    if roster == 0 {
        return usize::MAX;
    }
    roster / 2 + max_change(roster)
}

/// Removes and then adds VMs, within [`max_change`], and returns whether the roster changed.
///
/// The caller must ensure that the document's last change of the roster is in force.
pub fn change_roster(
    document: &mut Document,
    generation: u64,
    add: &[String],
    remove: &[String],
) -> bool {
    let mut remaining = max_change(document.roster.len());
    let old_roster = document.roster.clone();
    document.roster.retain(|vm| {
        let is_removed = remaining > 0 && remove.contains(vm);
        remaining -= usize::from(is_removed);
        !is_removed
    });
    for vm in add {
        if remaining > 0 && !document.roster.contains(vm) {
            document.roster.push(vm.clone());
            remaining -= 1;
        }
    }
    document.roster.sort();
    let changed = document.roster != old_roster;
    if changed {
        document.rostered = generation;
    }
    changed
}
