use super::{GatewayCandidate, GatewayPair};
use crate::ids::{TargetId, ZoneId};
use crate::membership::member_hash;

/// Chooses the gateways of a target by weighted rendezvous hashing.
///
/// Load pattern: instances come and go all day. One that leaves moves only the targets that it
/// was chosen for, one that joins takes its share and moves no others. Gateways are in
/// the target's availability zone, so that a cut zone keeps its targets and no byte crosses from
/// zone to zone that would not cross without them.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayChoice;

impl GatewayChoice {
    /// Returns the gateways of a target in `zone`; none if no instance there can be one.
    #[must_use]
    pub fn choose<'a>(
        target: &TargetId,
        zone: &ZoneId,
        candidates: impl IntoIterator<Item = GatewayCandidate<'a>>,
    ) -> Option<GatewayPair> {
        let mut best: [Option<(f64, GatewayCandidate<'a>)>; 2] = [None, None];
        for candidate in candidates {
            if candidate.zone != zone || candidate.weight == 0 {
                continue;
            }
            let ranked = (Self::score(target, &candidate), candidate);
            let is_better = |place: &Option<(f64, GatewayCandidate<'a>)>| {
                place.as_ref().is_none_or(|(score, known)| {
                    (ranked.0, candidate.instance) > (*score, known.instance)
                })
            };
            if is_better(&best[0]) {
                best[1] = best[0].replace(ranked);
            } else if is_better(&best[1]) {
                best[1] = Some(ranked);
            }
        }
        let [first, second] = best.map(|place| place.map(|(_, candidate)| candidate.address));
        first.map(|first| GatewayPair { first, second })
    }

    /// The score of weighted rendezvous hashing: a member wins in proportion to its weight.
    fn score(target: &TargetId, candidate: &GatewayCandidate<'_>) -> f64 {
        let name = candidate.instance.as_str().as_bytes();
        let hash = member_hash(target.as_str().as_bytes(), name);
        // 53 bits fill a double exactly; half a step keeps it off 0 and 1.
        let part = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        f64::from(candidate.weight) / -part.ln()
    }
}
