use std::collections::HashMap;

use super::{DutyRecord, DutyVoter};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

#[derive(Clone, Debug)]
struct SentList {
    renewals: u64,
    voters: Vec<DutyVoter>,
}

/// Which voters still go along with a holder, over all lists that the store may hold by now.
///
/// A voter's word counts from when the holder sent the answer that the voter repeats, by the
/// holder's own clock: however late the word comes, the voter had not left the holder then.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterLists {
    fence: u64,
    confirmed: Vec<DutyVoter>,
    /// Lists of writes that may have taken effect or may yet do so.
    sent: Vec<SentList>,
    echoes: HashMap<(InstanceId, u64), MonotonicTime>,
}

impl VoterLists {
    /// Begins anew for the holder of another fence.
    pub(super) fn begin(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
    }

    /// Notes that a record was sent to be written.
    pub(super) fn note_sent(&mut self, record: &DutyRecord) {
        let is_known =
            |list: &SentList| list.renewals == record.renewals && list.voters == record.voters;
        if !self.sent.iter().any(is_known) {
            self.sent.push(SentList {
                renewals: record.renewals,
                voters: record.voters.clone(),
            });
        }
    }

    /// Takes that the store holds a record; what was sent on the same or an earlier one can't
    /// take effect any more.
    pub(super) fn confirm(&mut self, record: &DutyRecord) {
        self.confirmed.clone_from(&record.voters);
        self.sent.retain(|list| list.renewals > record.renewals);
    }

    /// Takes that a voter repeats what this holder answered at `at`.
    pub(super) fn echoed(&mut self, instance: &InstanceId, incarnation: u64, at: MonotonicTime) {
        let known = self.echoes.entry((instance.clone(), incarnation));
        let known = known.or_insert(at);
        *known = at.max(*known);
    }

    /// Returns whether any list limits the holder.
    pub(super) fn are_empty(&self) -> bool {
        self.confirmed.is_empty() && self.sent.iter().all(|list| list.voters.is_empty())
    }

    /// Returns the latest time at which most voters of each list still went along with the
    /// holder, which is `own` in its present life.
    pub(super) fn backed_at(
        &self,
        own: (&InstanceId, u64),
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let sent = self.sent.iter().map(|list| &list.voters);
        let lists = sent.chain(std::iter::once(&self.confirmed));
        let backed = lists
            .filter(|voters| !voters.is_empty())
            .map(|voters| self.backed_by(voters, own, now));
        backed.min().flatten()
    }

    fn backed_by(
        &self,
        voters: &[DutyVoter],
        own: (&InstanceId, u64),
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let word = |voter: &DutyVoter| {
            if (&voter.instance, voter.incarnation) == own {
                return Some(now);
            }
            let key = (voter.instance.clone(), voter.incarnation);
            self.echoes.get(&key).copied()
        };
        let mut words: Vec<_> = voters.iter().filter_map(word).collect();
        words.sort_unstable_by(|one, other| other.cmp(one));
        words.get(voters.len() / 2).copied()
    }
}
