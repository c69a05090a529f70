//! Selection of a target: the less loaded of two random ones, preferably in the same data centre.

use rand::Rng;

/// A target that can be picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target is in this node's data centre.
    pub local: bool,
    /// Load of the target in requests: those under way from this node, or those that its egress node
    /// last reported if they are more.
    pub load: f64,
    /// Requests that the target can run at once.
    pub slots: f64,
    /// Whether the path to its egress node is avoided, because it has failed recently.
    pub avoided: bool,
    /// Whether the target is cold, so that not all of its slots can be used.
    pub cold: bool,
}

/// Load, as a fraction of the slots, from which a local target is no longer preferred.
const SPILLOVER_SHARE: f64 = 0.9;

/// Factor by which the relative load of a cold target is multiplied.
const COLD_WEIGHT: f64 = 3.0;

impl Candidate {
    fn relative_load(&self) -> f64 {
        let weight = if self.cold { COLD_WEIGHT } else { 1.0 };
        weight * (self.load + 1.0) / self.slots.max(1.0)
    }
}

/// Picks a candidate and returns its index; `None` if there are no candidates.
pub fn pick(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let usable = matching_or_all(&all, |i| !candidates[i].avoided);
    let local = matching_or_all(&usable, |i| {
        candidates[i].local && candidates[i].load < SPILLOVER_SHARE * candidates[i].slots
    });
    let (a, b) = choose_two(&local, rng)?;
    let better = candidates[b].relative_load() < candidates[a].relative_load();
    Some(if better { b } else { a })
}

/// Chooses two elements at random, different ones if there are at least two.
fn choose_two(indices: &[usize], rng: &mut impl Rng) -> Option<(usize, usize)> {
    let last = indices.len().checked_sub(1)?;
    let first = rng.random_range(0..=last);
    if last == 0 {
        return Some((indices[0], indices[0]));
    }
    let step = rng.random_range(1..=last);
    Some((indices[first], indices[(first + step) % indices.len()]))
}

/// Returns the elements that match, or all elements if none does.
fn matching_or_all(indices: &[usize], matches: impl Fn(usize) -> bool) -> Vec<usize> {
    let preferred: Vec<usize> = indices.iter().copied().filter(|i| matches(*i)).collect();
    if preferred.is_empty() {
        indices.to_vec()
    } else {
        preferred
    }
}
