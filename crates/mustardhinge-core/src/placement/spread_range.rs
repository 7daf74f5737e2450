use std::time::Duration;

use super::{PlacementExclusion, ReadPlacement, SpreadCandidate, SpreadLimits};

/// Part of the time that a read may wait, in quarters, within which a replica of the same zone must
/// be expected to start it. The expected wait is a mean of outdated information; the rest of the
/// time covers its variation.
const NEAR_WAIT_QUARTERS: u32 = 2;

/// The candidates whose cost is near the lowest, with the weight of each in the random choice.
#[derive(Clone, Copy, Debug)]
pub struct SpreadRange<'a> {
    candidates: &'a [SpreadCandidate],
    tried: &'a [usize],
    has_staying: bool,
    has_near: bool,
    cheapest: usize,
    max_cost: Duration,
    max_fixed: Duration,
    horizon: Duration,
}

impl<'a> SpreadRange<'a> {
    /// Creates the range for a read, or returns `None` if no candidate outside `tried` can be used.
    #[must_use]
    pub fn new(
        candidates: &'a [SpreadCandidate],
        limits: SpreadLimits,
        tried: &'a [usize],
    ) -> Option<Self> {
        let targets = || candidates.iter().map(|candidate| &candidate.target);
        let mut range = Self {
            candidates,
            tried,
            has_staying: targets().any(|target| !target.is_leaving),
            has_near: false,
            cheapest: 0,
            max_cost: Duration::ZERO,
            max_fixed: Duration::ZERO,
            horizon: Duration::ZERO,
        };
        let near_wait = limits.max_wait * NEAR_WAIT_QUARTERS / 4;
        range.has_near = candidates.iter().enumerate().any(|(index, candidate)| {
            range.base_exclusion(index, candidate).is_none()
                && candidate.is_near_with_capacity(near_wait)
        });
        let (cheapest, lowest) = range
            .usable()
            .min_by_key(|(_, candidate)| expected_cost(candidate))?;
        let horizon = horizon(range.usable().map(|(_, usable)| usable), limits.senders);
        range.cheapest = cheapest;
        range.max_cost = expected_cost(lowest) + horizon;
        range.max_fixed = fixed_cost(lowest);
        range.horizon = horizon;
        Some(range)
    }

    /// Returns the index of the candidate with the lowest cost.
    #[must_use]
    pub const fn cheapest(&self) -> usize {
        self.cheapest
    }

    /// Returns the time over which other instances act on the same information, for which free
    /// capacity is expected.
    #[must_use]
    pub const fn horizon(&self) -> Duration {
        self.horizon
    }

    /// Returns the candidates that may be chosen, each with its index and its weight.
    pub fn weights(&self) -> impl Iterator<Item = (usize, f64)> {
        let near_lowest = self.usable().filter(|(index, candidate)| {
            let is_near = expected_cost(candidate) <= self.max_cost
                && fixed_cost(candidate) <= self.max_fixed;
            *index == self.cheapest || is_near
        });
        near_lowest.map(|(index, candidate)| (index, weight(candidate.free_capacity(self.horizon))))
    }

    /// Returns why a candidate may not be chosen, or `None` if it may.
    #[must_use]
    pub fn exclusion(&self, index: usize) -> Option<PlacementExclusion> {
        let candidate = self.candidates.get(index)?;
        self.use_exclusion(index, candidate).or_else(|| {
            let is_weighted = self.weights().any(|(weighted, _)| weighted == index);
            (!is_weighted).then_some(PlacementExclusion::HigherCost)
        })
    }

    fn usable(&self) -> impl Iterator<Item = (usize, &'a SpreadCandidate)> {
        let indexed = self.candidates.iter().enumerate();
        indexed.filter(|(index, candidate)| self.use_exclusion(*index, candidate).is_none())
    }

    fn base_exclusion(
        &self,
        index: usize,
        candidate: &SpreadCandidate,
    ) -> Option<PlacementExclusion> {
        if self.tried.contains(&index) {
            return Some(PlacementExclusion::Tried);
        }
        ReadPlacement::exclusion(&candidate.target, self.has_staying)
    }

    fn use_exclusion(
        &self,
        index: usize,
        candidate: &SpreadCandidate,
    ) -> Option<PlacementExclusion> {
        let is_far = self.has_near && !candidate.target.is_same_zone;
        let far = is_far.then_some(PlacementExclusion::OtherZone);
        self.base_exclusion(index, candidate).or(far)
    }
}

/// Returns the time over which other instances act on the same information: the age of the oldest,
/// reduced by this instance's own part, whose statements it knows.
fn horizon<'a>(candidates: impl Iterator<Item = &'a SpreadCandidate>, senders: usize) -> Duration {
    let age = candidates.map(|candidate| candidate.age).max();
    let senders = senders.max(1) as f64;
    age.unwrap_or_default().mul_f64((senders - 1.0) / senders)
}

fn expected_cost(candidate: &SpreadCandidate) -> Duration {
    ReadPlacement::expected_cost(&candidate.target)
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
