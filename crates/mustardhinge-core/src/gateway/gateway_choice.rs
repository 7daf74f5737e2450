use super::{GatewayCandidate, GatewayPair};
use crate::ids::{TargetId, ZoneId};
use crate::membership::member_hash;

/// Chooses the gateways of a target by weighted rendezvous hashing.
///
/// Load pattern: instances start and stop all day. When an instance leaves, only the targets it
/// served are reassigned. When one joins, it takes over its share and all other assignments
/// stay. Gateways are in the target's availability zone, so that an isolated zone keeps its
/// targets and forwarding adds no traffic between zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayChoice;

impl GatewayChoice {
    /// Returns the gateways of a target in `zone`, or `None` if the zone has no candidate.
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

    /// Computes a weighted rendezvous score: the chance of the highest score is proportional to
    /// the weight.
    fn score(target: &TargetId, candidate: &GatewayCandidate<'_>) -> f64 {
        let name = candidate.instance.as_str().as_bytes();
        let hash = member_hash(target.as_str().as_bytes(), name);
        // 53 bits fit into an f64 exactly; adding half a step excludes 0 and 1.
        let part = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        f64::from(candidate.weight) / -part.ln()
    }
}
