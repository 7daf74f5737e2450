use std::collections::BTreeMap;
use std::time::Duration;

use super::Voter;
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// Voters of a holder: two may be gone, and no zone of three has most of them.
const MAX_VOTERS: usize = 5;
/// Fewer voters than this decide nothing that the holder alone would not.
const MIN_VOTERS: usize = 3;
/// An instance that was not heard for this long is no voter: two of its asks are missing.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An instance that could be a voter.
#[derive(Clone, Debug)]
pub struct VoterCandidate<'a> {
    /// The voter it would be.
    pub voter: Voter,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// When it was last heard.
    pub last_received_at: MonotonicTime,
}

/// Chooses the voters of a holder: an odd number, over the availability zones in turn, the
/// present ones first.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoterChoice;

impl VoterChoice {
    /// Returns the voters; none if there are too few instances.
    #[must_use]
    pub fn choose<'a>(
        candidates: impl Iterator<Item = VoterCandidate<'a>>,
        current: &[Voter],
        now: MonotonicTime,
    ) -> Vec<Voter> {
        let mut zones: BTreeMap<&ZoneId, Vec<Voter>> = BTreeMap::new();
        for candidate in candidates {
            if now.saturating_since(candidate.last_received_at) < VOTER_TIMEOUT {
                let zone = zones.entry(candidate.zone).or_default();
                zone.push(candidate.voter);
            }
        }
        for zone in zones.values_mut() {
            zone.sort_unstable_by_key(|voter| (!current.contains(voter), voter.clone()));
        }
        let most_in_zone = zones.values().map(Vec::len).max().unwrap_or(0);
        let rounds = (0..most_in_zone).flat_map(|round| {
            let zones = zones.values();
            zones.filter_map(move |zone| zone.get(round).cloned())
        });
        let mut voters: Vec<_> = rounds.take(MAX_VOTERS).collect();
        if voters.len().is_multiple_of(2) {
            voters.pop();
        }
        if voters.len() < MIN_VOTERS {
            voters.clear();
        }
        voters.sort_unstable();
        voters
    }
}
