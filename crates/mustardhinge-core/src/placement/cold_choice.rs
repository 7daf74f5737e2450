use rand::{Rng, RngExt};

use super::{SpreadCandidate, SpreadChoice, SpreadLimits, SpreadPlacement};

impl SpreadPlacement {
    /// Returns the chosen candidate like [`choose`](Self::choose), but a cold target gets only the
    /// part `share(index)` of the reads that it would get; the others go to targets that are
    /// sound, if there are any.
    ///
    /// Without cold targets, the same random numbers are drawn as by [`choose`](Self::choose).
    #[must_use]
    pub fn choose_with_cold(
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
            match next.filter(|next| is_sound(&candidates[next.index])) {
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
}

/// Returns whether a target can take a read that a cold target is spared.
const fn is_sound(candidate: &SpreadCandidate) -> bool {
    let target = &candidate.target;
    !target.is_failing && !target.is_leaving && !target.lacks_position && !candidate.is_silent
}
