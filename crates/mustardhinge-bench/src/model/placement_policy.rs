use std::fmt;

use mustardhinge_core::placement::{
    PlacementCandidate, ReadPlacement, SpreadCandidate, SpreadLimits, SpreadPlacement,
};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

/// How the target of a read is chosen from outdated reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The target with the lowest expected cost, at random among equal ones.
    LeastLoaded,
    /// The target with the lower expected cost of two at random.
    TwoAtRandom,
    /// A target at random, in proportion to its slots and speed.
    PowerWeighted,
    /// The choice of the resident process with overload control.
    FreeCapacity,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::LeastLoaded,
        Self::TwoAtRandom,
        Self::PowerWeighted,
        Self::FreeCapacity,
    ];

    /// Returns the index of the chosen target.
    pub(super) fn choose(
        self,
        candidates: &[SpreadCandidate],
        limits: SpreadLimits,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        match self {
            Self::LeastLoaded => cheapest(candidates, 0..candidates.len(), rng),
            Self::TwoAtRandom => {
                let two = (0..candidates.len()).sample(rng, 2);
                cheapest(candidates, two, rng)
            }
            Self::PowerWeighted => {
                let powers = candidates.iter().map(|candidate| power(&candidate.target));
                let mut drawn = rng.random::<f64>() * powers.clone().sum::<f64>();
                let passed = powers.take_while(|power| {
                    drawn -= power;
                    drawn >= 0.0
                });
                Some(passed.count().min(candidates.len() - 1))
            }
            Self::FreeCapacity => {
                let choice = SpreadPlacement::choose(candidates, limits, &[], rng);
                choice.map(|choice| choice.index)
            }
        }
    }
}

/// Returns the candidate with the lowest cost; chance decides between equal ones.
fn cheapest(
    candidates: &[SpreadCandidate],
    indices: impl IntoIterator<Item = usize>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let keyed = indices.into_iter().map(|index| {
        let cost = ReadPlacement::expected_cost(&candidates[index].target);
        (cost, rng.random::<u32>(), index)
    });
    keyed.min().map(|(_, _, index)| index)
}

/// Returns the statements that a target completes in a second.
fn power(target: &PlacementCandidate) -> f64 {
    target.slots as f64 / target.typical_latency.as_secs_f64()
}

impl fmt::Display for PlacementPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::LeastLoaded => "least-loaded",
            Self::TwoAtRandom => "two-at-random",
            Self::PowerWeighted => "power-weighted",
            Self::FreeCapacity => "free-capacity",
        })
    }
}
