use rand::{Rng, RngExt};

use super::{SpreadCandidate, SpreadChoice, SpreadLimits, SpreadRange};

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
    /// Skips the same candidates as [`ReadPlacement::choose`](super::ReadPlacement::choose), and
    /// those of other availability zones while a replica of the same zone has capacity within the
    /// objective. The older the information, the more targets are near the lowest cost; a higher fixed cost (a connection,
    /// the zone, the primary, a fault) is never outweighed by the age of the information.
    #[must_use]
    pub fn choose(
        candidates: &[SpreadCandidate],
        limits: SpreadLimits,
        tried: &[usize],
        rng: &mut impl Rng,
    ) -> Option<SpreadChoice> {
        let range = SpreadRange::new(candidates, limits, tried)?;
        let cheapest = range.cheapest();
        let total: f64 = range.weights().map(|(_, weight)| weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        let chosen = range.weights().find(|(_, weight)| {
            drawn -= weight;
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
