use std::collections::HashMap;

use super::{LeaderRecord, Voter};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

#[derive(Clone, Debug)]
struct SentVoters {
    renewals: u64,
    voters: Vec<Voter>,
}

/// Which voters still go along with a holder, over all lists that the store may hold by now.
///
/// A voter's word counts from when the holder sent the answer that the voter repeats, by the
/// holder's own clock: however late the word comes, the voter had not left the holder then.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterAcks {
    fence: u64,
    confirmed: Vec<Voter>,
    /// Lists of writes that may have taken effect or may yet do so.
    sent: Vec<SentVoters>,
    acks: HashMap<(InstanceId, u64), MonotonicTime>,
}

impl VoterAcks {
    /// Begins anew for the holder of another fence.
    pub(super) fn reset(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
    }

    /// Notes that a record was sent to be written.
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

    /// Takes that the store holds a record; what was sent on the same or an earlier one can't
    /// take effect any more.
    pub(super) fn confirm(&mut self, record: &LeaderRecord) {
        self.confirmed.clone_from(&record.voters);
        self.sent.retain(|list| list.renewals > record.renewals);
    }

    /// Takes that a voter repeats what this holder answered at `at`.
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

    /// Returns whether any list limits the holder.
    pub(super) fn is_empty(&self) -> bool {
        self.confirmed.is_empty() && self.sent.iter().all(|list| list.voters.is_empty())
    }

    /// Returns the latest time at which most voters of each list still went along with the
    /// holder, which is `own` in its present life.
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
