use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::{
    PlacementCandidate, PlacementExclusion, ReadPlacement, SpreadCandidate, SpreadLimits,
    SpreadPlacement, SpreadRange,
};

use super::explain_context::ExplainContext;
use crate::session::{plain_candidates, spread_candidates};
use crate::target::TargetHandle;

/// The candidates of a read, by the setting of overload control.
pub(super) enum ReadCandidates {
    Plain(Vec<PlacementCandidate>),
    /// Also has the part of its usual reads that each target gets.
    Spread(Vec<SpreadCandidate>, SpreadLimits, Vec<f64>),
}

impl ReadCandidates {
    /// Returns the candidates among `targets` for the read of `context`.
    pub(super) fn new(
        context: &ExplainContext<'_>,
        targets: &[Rc<TargetHandle>],
        max_staleness: Duration,
    ) -> Self {
        let (node, request) = (context.node, &context.request);
        let group = (&*context.group, targets);
        let read = (max_staleness, context.now);
        if context.overload.is_on() {
            let (candidates, limits) = spread_candidates(node, group, request, read);
            let share = |target: &Rc<TargetHandle>| node.read_share(target, context.now);
            let shares = targets.iter().map(share);
            Self::Spread(candidates, limits, shares.collect())
        } else {
            Self::Plain(plain_candidates(node, group, request, read))
        }
    }

    /// Returns the targets that the next attempt may choose, each with its probability.
    pub(super) fn probabilities(&self, tried: &[usize]) -> Vec<(usize, f64)> {
        match self {
            Self::Plain(candidates) => {
                let chosen = ReadPlacement::choose(candidates, tried);
                chosen.map(|index| (index, 1.0)).into_iter().collect()
            }
            Self::Spread(candidates, limits, shares) => {
                let share = |index: usize| shares[index];
                SpreadPlacement::probabilities_with_shares(candidates, *limits, tried, share)
            }
        }
    }

    /// Returns why the first attempt may not choose a target.
    pub(super) fn exclusion(&self, index: usize) -> Option<PlacementExclusion> {
        match self {
            Self::Plain(candidates) => {
                let has_staying = candidates.iter().any(|candidate| !candidate.is_leaving);
                ReadPlacement::exclusion(candidates.get(index)?, has_staying).or_else(|| {
                    let is_chosen = ReadPlacement::choose(candidates, &[]) == Some(index);
                    (!is_chosen).then_some(PlacementExclusion::HigherCost)
                })
            }
            Self::Spread(candidates, limits, _) => match SpreadRange::new(candidates, *limits, &[])
            {
                Some(range) => range.exclusion(index),
                None => ReadPlacement::exclusion(&candidates.get(index)?.target, true),
            },
        }
    }

    /// Returns the expected cost of a target.
    pub(super) fn cost(&self, index: usize) -> Option<Duration> {
        let target = match self {
            Self::Plain(candidates) => candidates.get(index)?,
            Self::Spread(candidates, ..) => &candidates.get(index)?.target,
        };
        Some(ReadPlacement::expected_cost(target))
    }

    /// Returns the expected free capacity of a target, with overload control.
    pub(super) fn free_capacity(&self, index: usize) -> Option<f64> {
        match self {
            Self::Plain(_) => None,
            Self::Spread(candidates, limits, _) => {
                let range = SpreadRange::new(candidates, *limits, &[]);
                let horizon = range.map_or(Duration::ZERO, |range| range.horizon());
                Some(candidates.get(index)?.free_capacity(horizon))
            }
        }
    }
}
