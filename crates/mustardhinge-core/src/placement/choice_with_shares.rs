use std::collections::BTreeMap;

use rand::{Rng, RngExt};

use super::{SpreadCandidate, SpreadChoice, SpreadLimits, SpreadPlacement, SpreadRange};

/// Maximum number of sets of passed-over targets that are followed. Groups have about three targets,
/// whose sets are all followed; the limit bounds the work for a group with many cold targets, whose
/// probabilities are then approximate.
const MAX_OPEN_SETS: usize = 64;

/// Probabilities by the targets that were passed over, sorted, and the first of them.
type OpenSets = BTreeMap<(Vec<usize>, Option<usize>), f64>;

impl SpreadPlacement {
    /// Returns the chosen candidate like [`choose`](Self::choose), but a target gets only the part
    /// `share(index)` of the reads that it would get. The others go to targets that neither fail nor
    /// leave, if there are any.
    ///
    /// If all shares are 1, the same random numbers are drawn as by [`choose`](Self::choose).
    #[must_use]
    pub fn choose_with_shares(
        candidates: &[SpreadCandidate],
        limits: SpreadLimits,
        tried: &[usize],
        share: impl Fn(usize) -> f64,
        rng: &mut impl Rng,
    ) -> Option<SpreadChoice> {
        let usual = Self::choose(candidates, limits, tried, rng)?;
        let mut passed_over = tried.to_vec();
        let mut choice = usual;
        loop {
            let share = share(choice.index);
            if share >= 1.0 || rng.random::<f64>() < share {
                return Some(choice);
            }
            passed_over.push(choice.index);
            let next = Self::choose(candidates, limits, &passed_over, rng);
            match next.filter(|next| can_replace_choice(&candidates[next.index])) {
                Some(next) => {
                    choice = SpreadChoice {
                        is_cheapest: false,
                        ..next
                    };
                }
                None => return Some(usual),
            }
        }
    }

    /// Returns the probability with which [`choose_with_shares`](Self::choose_with_shares) returns each
    /// candidate, without drawing random numbers.
    #[must_use]
    pub fn probabilities_with_shares(
        candidates: &[SpreadCandidate],
        limits: SpreadLimits,
        tried: &[usize],
        share: impl Fn(usize) -> f64,
    ) -> Vec<(usize, f64)> {
        let mut totals = vec![0.0; candidates.len()];
        // How probable it is that the choice passes over a set of targets, by the first of them.
        let mut open = BTreeMap::from([((tried.to_vec(), None), 1.0)]);
        while !open.is_empty() {
            let mut next = BTreeMap::new();
            for ((passed_over, usual), reached) in keep_first(open, &mut totals) {
                let drawn = usual_probabilities(candidates, limits, &passed_over);
                if let (Some(usual), true) = (usual, drawn.is_empty()) {
                    totals[usual] += reached;
                }
                for (index, probability) in drawn {
                    let probability = reached * probability;
                    if let Some(usual) = usual.filter(|_| !can_replace_choice(&candidates[index])) {
                        totals[usual] += probability;
                        continue;
                    }
                    let kept = share(index).clamp(0.0, 1.0);
                    totals[index] += probability * kept;
                    if kept < 1.0 {
                        let key = (with_index(&passed_over, index), usual.or(Some(index)));
                        *next.entry(key).or_insert(0.0) += probability * (1.0 - kept);
                    }
                }
            }
            open = next;
        }
        let chosen = totals.into_iter().enumerate();
        chosen.filter(|(_, total)| *total > 0.0).collect()
    }
}

fn with_index(passed_over: &[usize], index: usize) -> Vec<usize> {
    let mut passed_over = [passed_over, &[index]].concat();
    passed_over.sort_unstable();
    passed_over
}

/// Returns the sets to follow. Beyond [`MAX_OPEN_SETS`], the read counts for the first target that
/// was passed over.
fn keep_first(open: OpenSets, totals: &mut [f64]) -> OpenSets {
    if open.len() <= MAX_OPEN_SETS {
        return open;
    }
    let mut kept = OpenSets::new();
    for ((passed_over, usual), reached) in open {
        match usual {
            Some(usual) if kept.len() == MAX_OPEN_SETS => totals[usual] += reached,
            _ => {
                kept.insert((passed_over, usual), reached);
            }
        }
    }
    kept
}

/// Returns the probabilities of [`SpreadPlacement::choose`].
fn usual_probabilities(
    candidates: &[SpreadCandidate],
    limits: SpreadLimits,
    tried: &[usize],
) -> Vec<(usize, f64)> {
    let Some(range) = SpreadRange::new(candidates, limits, tried) else {
        return Vec::new();
    };
    let total: f64 = range.weights().map(|(_, weight)| weight).sum();
    let weights = range.weights();
    weights
        .map(|(index, weight)| (index, weight / total))
        .collect()
}

/// Returns whether a target may take a read that one with a reduced share doesn't get.
const fn can_replace_choice(candidate: &SpreadCandidate) -> bool {
    let target = &candidate.target;
    !target.is_failing && !target.is_leaving && !target.lacks_position && !candidate.is_silent
}
