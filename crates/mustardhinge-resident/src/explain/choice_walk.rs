use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::read_candidates::ReadCandidates;
use crate::target::{LinkAdmission, LinkPreview, TargetHandle};

/// Maximum number of different sets of full targets that are followed per number of targets. Groups
/// have about three targets, whose sets are all followed; the limit bounds the work for a group with
/// many full targets, whose probabilities are then approximate.
const MAX_TRIED_SETS: usize = 64;

/// The outcomes of a read's attempts to find a target that admits it. A target that refuses it is
/// not chosen again.
pub(super) struct ChoiceWalk {
    /// Probability that each target is the one that admits the read.
    pub(super) probabilities: Vec<f64>,
    /// The shortest retry delay of the targets that refuse it.
    pub(super) shortest_retry: Option<Duration>,
}

impl ChoiceWalk {
    /// Follows the attempts among the targets of `links`.
    pub(super) fn follow(
        candidates: &ReadCandidates,
        links: &[(Rc<TargetHandle>, LinkPreview)],
    ) -> Self {
        let mut walk = Self {
            probabilities: vec![0.0; links.len()],
            shortest_retry: None,
        };
        let mut tried_sets = BTreeMap::from([(Vec::new(), 1.0)]);
        while !tried_sets.is_empty() {
            let mut next_sets = BTreeMap::new();
            for (tried, reached) in tried_sets {
                for (index, probability) in candidates.probabilities(&tried) {
                    let reached = reached * probability;
                    let LinkAdmission::Refuse(after) = links[index].1.admission else {
                        walk.probabilities[index] += reached;
                        continue;
                    };
                    let known = walk.shortest_retry.get_or_insert(after);
                    *known = after.min(*known);
                    let mut tried: Vec<usize> = tried.clone();
                    tried.push(index);
                    tried.sort_unstable();
                    *next_sets.entry(tried).or_insert(0.0) += reached;
                }
            }
            tried_sets = merge_if_many(next_sets);
        }
        walk
    }

    /// Returns the target that most probably admits the read, if any does.
    pub(super) fn most_probable(&self) -> Option<usize> {
        let indices = 0..self.probabilities.len();
        indices
            .filter(|index| self.probabilities[*index] > 0.0)
            .max_by(|one, other| self.probabilities[*one].total_cmp(&self.probabilities[*other]))
    }
}

/// Merges the sets into their union if they are too many to be followed separately.
fn merge_if_many(sets: BTreeMap<Vec<usize>, f64>) -> BTreeMap<Vec<usize>, f64> {
    if sets.len() <= MAX_TRIED_SETS {
        return sets;
    }
    let total = sets.values().sum();
    let mut union: Vec<usize> = sets.into_keys().flatten().collect();
    union.sort_unstable();
    union.dedup();
    BTreeMap::from([(union, total)])
}
