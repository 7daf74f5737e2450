use std::collections::HashMap;

use super::{LeaderRecord, Voter};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

#[derive(Clone, Debug)]
struct SentVoters {
    renewals: u64,
    voters: Vec<Voter>,
}

/// The voters' acknowledgements of a leader, for every voter list that the store may hold.
///
/// An acknowledgement repeats the time at which the leader sent the acknowledged response, by
/// the leader's own clock. It counts from that time: however late it arrives, the voter still
/// followed this leader then.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterAcks {
    fence: u64,
    confirmed: Vec<Voter>,
    /// The lists of writes that may have taken effect or may still do so.
    sent: Vec<SentVoters>,
    acks: HashMap<(InstanceId, u64), MonotonicTime>,
}

impl VoterAcks {
    /// Clears all state if the leader has a new fence.
    pub(super) fn reset(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
    }

    /// Records the voter list of a write that was sent.
    pub(super) fn record_sent(&mut self, record: &LeaderRecord) {
        let is_known =
            |list: &SentVoters| list.renewals == record.renewals && list.voters == record.voters;
        if !self.sent.iter().any(is_known) {
            self.sent.push(SentVoters {
                renewals: record.renewals,
                voters: record.voters.clone(),
            });
        }
    }

    /// Records that the store holds `record`, so that writes sent with the same or fewer renewals
    /// can no longer take effect.
    pub(super) fn confirm(&mut self, record: &LeaderRecord) {
        self.confirmed.clone_from(&record.voters);
        self.sent.retain(|list| list.renewals > record.renewals);
    }

    /// Records that a voter acknowledged the response sent at `at`.
    pub(super) fn record_ack(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        at: MonotonicTime,
    ) {
        let known = self.acks.entry((instance.clone(), incarnation));
        let known = known.or_insert(at);
        *known = at.max(*known);
    }

    /// Returns whether no voter list limits the leader.
    pub(super) fn is_empty(&self) -> bool {
        self.confirmed.is_empty() && self.sent.iter().all(|list| list.voters.is_empty())
    }

    /// Returns the latest time at which a majority of each list followed the leader, which is the
    /// instance and incarnation `own`.
    pub(super) fn last_quorum_at(
        &self,
        own: (&InstanceId, u64),
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let sent = self.sent.iter().map(|list| &list.voters);
        let lists = sent.chain(std::iter::once(&self.confirmed));
        let quorum_times = lists
            .filter(|voters| !voters.is_empty())
            .map(|voters| self.quorum_time(voters, own, now));
        quorum_times.min().flatten()
    }

    fn quorum_time(
        &self,
        voters: &[Voter],
        own: (&InstanceId, u64),
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let ack_time = |voter: &Voter| {
            if (&voter.instance, voter.incarnation) == own {
                return Some(now);
            }
            let key = (voter.instance.clone(), voter.incarnation);
            self.acks.get(&key).copied()
        };
        let mut ack_times: Vec<_> = voters.iter().filter_map(ack_time).collect();
        ack_times.sort_unstable_by(|one, other| other.cmp(one));
        ack_times.get(voters.len() / 2).copied()
    }
}
