use std::collections::BTreeMap;
use std::time::Duration;

use super::Voter;
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// With five voters two may be lost, and none of three zones has a majority.
const MAX_VOTERS: usize = 5;
/// Fewer voters than this decide nothing that the leader could not decide alone.
const MIN_VOTERS: usize = 3;
/// Two missed requests exclude an instance from the voters.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A candidate for the voters of a leader.
#[derive(Clone, Debug)]
pub struct VoterCandidate<'a> {
    /// The instance as a voter.
    pub voter: Voter,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// When its last message was received.
    pub last_received_at: MonotonicTime,
}

/// Chooses an odd number of voters round-robin over the availability zones, preferring the
/// current ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoterChoice;

impl VoterChoice {
    /// Returns the voters, or an empty list if there are too few instances.
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
