use std::time::Duration;

use rand::{Rng, RngExt};

use super::{ReadPlacement, SpreadCandidate, SpreadChoice, SpreadLimits};

/// Part of the time that a read may wait, in quarters, within which a replica of the same zone must
/// be expected to start it. The expected wait is a mean of outdated information; the rest of the
/// time covers its variation.
const NEAR_WAIT_QUARTERS: u32 = 2;

/// Chooses the target of a read at random among those whose cost is near the lowest, in proportion
/// to their expected free capacity.
///
/// Load pattern: many instances choose at the same time from the same outdated reports. If each
/// chose the least loaded target, all would send there until the next report, and the other
/// targets would idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadPlacement;

impl SpreadPlacement {
    /// Returns the chosen candidate.
    ///
    /// Skips the same candidates as [`ReadPlacement::choose`], and those of other availability
    /// zones while a replica of the same zone has capacity within the objective. The older the
    /// information, the more targets are near the lowest cost; a higher fixed cost (a connection,
    /// the zone, the primary, a fault) is never outweighed by the age of the information.
    #[must_use]
    pub fn choose(
        candidates: &[SpreadCandidate],
        limits: SpreadLimits,
        tried: &[usize],
        rng: &mut impl Rng,
    ) -> Option<SpreadChoice> {
        let is_usable = usable_filter(candidates, limits.max_wait, tried);
        let usable = || {
            let indexed = candidates.iter().enumerate();
            indexed.filter(|(index, candidate)| is_usable(*index, candidate))
        };
        let cost = |candidate: &SpreadCandidate| ReadPlacement::expected_cost(&candidate.target);
        let (cheapest, lowest) = usable().min_by_key(|(_, candidate)| cost(candidate))?;
        let horizon = horizon(usable().map(|(_, candidate)| candidate), limits.senders);
        let (max_cost, max_fixed) = (cost(lowest) + horizon, fixed_cost(lowest));
        let near_lowest = || {
            usable().filter(|(index, candidate)| {
                let is_near = cost(candidate) <= max_cost && fixed_cost(candidate) <= max_fixed;
                *index == cheapest || is_near
            })
        };
        let weigh = |candidate: &SpreadCandidate| weight(candidate.free_capacity(horizon));
        let total: f64 = near_lowest().map(|(_, candidate)| weigh(candidate)).sum();
        let mut drawn = rng.random::<f64>() * total;
        let chosen = near_lowest().find(|(_, candidate)| {
            drawn -= weigh(candidate);
            drawn < 0.0
        });
        // Rounding can leave a remainder of the total.
        let index = chosen.map_or(cheapest, |(index, _)| index);
        Some(SpreadChoice {
            index,
            is_cheapest: index == cheapest,
        })
    }
}

/// Returns the filter of the candidates that may be chosen.
fn usable_filter(
    candidates: &[SpreadCandidate],
    max_wait: Duration,
    tried: &[usize],
) -> impl Fn(usize, &SpreadCandidate) -> bool {
    let has_staying = candidates
        .iter()
        .any(|candidate| !candidate.target.is_leaving);
    let is_eligible = move |index: usize, candidate: &SpreadCandidate| {
        !tried.contains(&index) && ReadPlacement::is_eligible(&candidate.target, has_staying)
    };
    let near_wait = max_wait * NEAR_WAIT_QUARTERS / 4;
    let has_near = candidates.iter().enumerate().any(|(index, candidate)| {
        is_eligible(index, candidate) && candidate.is_near_with_capacity(near_wait)
    });
    move |index, candidate| {
        is_eligible(index, candidate) && (candidate.target.is_same_zone || !has_near)
    }
}

/// Returns the time over which other instances act on the same information: the age of the oldest,
/// reduced by this instance's own part, whose statements it knows.
fn horizon<'a>(candidates: impl Iterator<Item = &'a SpreadCandidate>, senders: usize) -> Duration {
    let age = candidates.map(|candidate| candidate.age).max();
    let senders = senders.max(1) as f64;
    age.unwrap_or_default().mul_f64((senders - 1.0) / senders)
}

/// Returns the part of the cost that doesn't depend on load.
fn fixed_cost(candidate: &SpreadCandidate) -> Duration {
    ReadPlacement::fixed_cost(&candidate.target)
}

/// Returns the weight of a target. It stays above zero without free capacity, so that the targets
/// share the load if all of them are full.
fn weight(free_capacity: f64) -> f64 {
    if free_capacity >= 1.0 {
        free_capacity
    } else {
        1.0 / (2.0 - free_capacity)
    }
}
