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
    /// Requests that the target runs at once.
    pub slots: f64,
    /// Whether the path to its node has failed recently.
    pub avoided: bool,
    /// Whether the target is cold, so that not all of its slots can be used.
    pub cold: bool,
}

/// Load, as a share of the slots, from which a local target is no longer preferred.
const SPILLOVER_SHARE: f64 = 0.9;

/// Factor by which the relative load of a cold target is raised.
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
    let usable = prefer(&all, |i| !candidates[i].avoided);
    let local = prefer(&usable, |i| {
        candidates[i].local && candidates[i].load < SPILLOVER_SHARE * candidates[i].slots
    });
    let (a, b) = draw_two(&local, rng)?;
    let better = candidates[b].relative_load() < candidates[a].relative_load();
    Some(if better { b } else { a })
}

/// Draws two elements at random, different ones if there are at least two.
fn draw_two(from: &[usize], rng: &mut impl Rng) -> Option<(usize, usize)> {
    let last = from.len().checked_sub(1)?;
    let first = rng.random_range(0..=last);
    if last == 0 {
        return Some((from[0], from[0]));
    }
    let step = rng.random_range(1..=last);
    Some((from[first], from[(first + step) % from.len()]))
}

/// Returns the elements that match, or all elements if none does.
fn prefer(from: &[usize], matches: impl Fn(usize) -> bool) -> Vec<usize> {
    let preferred: Vec<usize> = from.iter().copied().filter(|i| matches(*i)).collect();
    if preferred.is_empty() {
        from.to_vec()
    } else {
        preferred
    }
}
