//! The choice of a target: the less loaded of two, in the own data centre first.

use rand::Rng;

/// What the choice knows of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the target is in the chooser's data centre.
    pub local: bool,
    /// Requests under way from here, and those its guard last reported.
    pub load: f64,
    /// Requests it may run at once.
    pub slots: f64,
    /// Whether the way to it failed lately.
    pub avoided: bool,
    /// Whether it is trusted with part of its slots only.
    pub cold: bool,
}

/// Load above which near targets no longer go first, as a share of slots.
const SPILLOVER_SHARE: f64 = 0.9;

/// How much heavier a slot of a cold target weighs.
const COLD_WEIGHT: f64 = 3.0;

impl Candidate {
    fn relative_load(&self) -> f64 {
        let weight = if self.cold { COLD_WEIGHT } else { 1.0 };
        weight * (self.load + 1.0) / self.slots.max(1.0)
    }
}

/// Chooses one candidate by its position, or none when there are none.
pub fn pick(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let open = prefer(&all, |i| !candidates[i].avoided);
    let near = prefer(&open, |i| {
        candidates[i].local && candidates[i].load < SPILLOVER_SHARE * candidates[i].slots
    });
    let (a, b) = draw_two(&near, rng)?;
    let better = candidates[b].relative_load() < candidates[a].relative_load();
    Some(if better { b } else { a })
}

/// Draws two, which differ if there are two.
fn draw_two(from: &[usize], rng: &mut impl Rng) -> Option<(usize, usize)> {
    let last = from.len().checked_sub(1)?;
    let first = rng.random_range(0..=last);
    if last == 0 {
        return Some((from[0], from[0]));
    }
    let step = rng.random_range(1..=last);
    Some((from[first], from[(first + step) % from.len()]))
}

/// Keeps what fits, or everything when nothing does.
fn prefer(from: &[usize], fits: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|i| fits(*i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}
