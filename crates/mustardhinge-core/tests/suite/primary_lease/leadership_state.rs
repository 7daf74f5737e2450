//! What a leader keeps when its right to grant leases ends and returns.

use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, LeaderTerm, MonotonicTime};
use mustardhinge_core::primary_lease::{
    ChangeCause, ElectionStep, GroupEpoch, GroupLeases, GroupPhase, LeaderElection, LeaderRecord,
    LeadershipChange, LeadershipState, ObservedRecord, RecordRevision, StoreEra,
};
use proptest::prelude::*;

use super::{at, id};

const STEP: u64 = 50;
const REQUEST_INTERVAL: u64 = 500;
const COUNT: usize = 3;

fn revision(number: u64) -> RecordRevision {
    RecordRevision::new(StoreEra::default(), number)
}

/// An instance that may lead, and that uses the primary under leases.
struct Instance {
    name: InstanceId,
    election: LeaderElection,
    leadership: LeadershipState,
    leases: Option<GroupLeases>,
    earlier: Option<GroupLeases>,
    cut_until: u64,
    frozen_until: u64,
    used_epoch: GroupEpoch,
    used_until: MonotonicTime,
}

impl Instance {
    fn new(index: usize) -> Self {
        let name: InstanceId = id(&format!("i{index}"));
        let address = format!("127.0.0.1:{}", 7_000 + index).parse().unwrap();
        Self {
            election: LeaderElection::new(name.clone(), 1, address, index as u32),
            name,
            leadership: LeadershipState::default(),
            leases: None,
            earlier: None,
            cut_until: 0,
            frozen_until: 0,
            used_epoch: GroupEpoch::new(0),
            used_until: at(0),
        }
    }

    fn end_group(&mut self) {
        self.earlier = self.leases.take().or(self.earlier.take());
    }
}

/// Instances, the store's leadership record and one group.
struct Fleet {
    instances: Vec<Instance>,
    stored: Option<(u64, LeaderRecord)>,
    epoch: GroupEpoch,
    is_change_due: bool,
    changes: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            instances: (0..COUNT).map(Instance::new).collect(),
            stored: None,
            epoch: GroupEpoch::new(1),
            is_change_due: false,
            changes: 0,
        }
    }

    fn access_store(&mut self, index: usize, now: MonotonicTime) {
        let election = &mut self.instances[index].election;
        match election.next_step(now) {
            ElectionStep::Wait => {}
            ElectionStep::Read => {
                election.record_read_sent(now);
                let stored = self.stored.clone();
                let stored = stored.map(|(number, record)| (revision(number), record));
                election.observe_record(stored, now, now);
            }
            ElectionStep::Write { record, expected } => {
                election.record_write_sent(&record, now);
                let present = self.stored.as_ref().map(|(number, _)| revision(*number));
                if present != expected {
                    return election.mark_stale();
                }
                let number = self.stored.as_ref().map_or(0, |(number, _)| *number) + 1;
                self.stored = Some((number, record.clone()));
                election.confirm_write(revision(number), record, now);
            }
        }
    }

    fn grant(&mut self, leader: usize, now: MonotonicTime) {
        let Some(lease) = self.instances[leader].election.lease_duration(now) else {
            return;
        };
        let (record, number, renewed_at) = self.instances[leader].election.held_record().unwrap();
        let observed = ObservedRecord {
            revision: number,
            record: record.clone(),
            first_seen: renewed_at,
        };
        for index in 0..COUNT {
            let name = self.instances[index].name.clone();
            let is_frozen = now < at(self.instances[index].frozen_until);
            let Some(leases) = self.instances[leader].leases.as_mut() else {
                return;
            };
            if is_frozen {
                continue;
            }
            let grant = leases.grant(&name, lease, now);
            let instance = &mut self.instances[index];
            instance.election.observe_leader(observed.clone(), now);
            if grant.usable && grant.epoch >= instance.used_epoch {
                instance.used_epoch = grant.epoch;
                instance.used_until = now + lease;
            }
        }
    }

    fn maintain_group(&mut self, leader: usize, now: MonotonicTime) {
        let epoch = self.epoch;
        let instance = &mut self.instances[leader];
        if instance.leases.is_none() {
            let mut leases =
                GroupLeases::new(id("s"), epoch, id("a"), LeaderTerm::new(epoch.get()));
            if let Some(earlier) = instance.earlier.take() {
                leases.keep_leases(&earlier);
            }
            instance.leases = Some(leases);
        }
        let may_promote = instance.election.may_promote(now);
        let leases = instance.leases.as_mut().unwrap();
        if self.is_change_due && may_promote {
            leases.begin_stop(ChangeCause::Unreachable, now);
        }
        leases.advance(now);
        if !may_promote || !matches!(leases.phase(), GroupPhase::Replacing { .. }) {
            return;
        }
        self.epoch = epoch.next();
        leases.begin_epoch(self.epoch, id("b"), LeaderTerm::new(self.epoch.get()));
        self.is_change_due = false;
        self.changes += 1;
        for user in &self.instances {
            assert!(
                user.used_epoch >= self.epoch || user.used_until <= now,
                "{} may use the primary of epoch {} until {}, replaced by {leader} at {now}",
                user.name,
                user.used_epoch,
                user.used_until
            );
        }
    }

    fn advance(&mut self, millis: u64) {
        let now = at(millis);
        for index in 0..COUNT {
            let instance = &mut self.instances[index];
            if millis < instance.frozen_until {
                continue;
            }
            let change = instance.leadership.update(&instance.election, now);
            if matches!(
                change,
                Some(LeadershipChange::Gained | LeadershipChange::Lost)
            ) {
                instance.end_group();
            }
            if millis >= instance.cut_until {
                self.access_store(index, now);
            }
            if !self.instances[index].leadership.is_granting() {
                continue;
            }
            self.maintain_group(index, now);
            if millis.is_multiple_of(REQUEST_INTERVAL) {
                self.grant(index, now);
            }
        }
    }

    fn leader(&self, now: MonotonicTime) -> Option<usize> {
        let is_leader = |instance: &Instance| instance.election.may_grant(now);
        self.instances.iter().position(is_leader)
    }
}

/// Failure: the renewal of a leader is late, and it takes its own record for a new leadership.
#[test]
fn a_late_renewal_continues_the_leadership() {
    let mut fleet = Fleet::new();
    for millis in (0..4_000).step_by(STEP as usize) {
        fleet.advance(millis);
    }
    let leader = fleet.leader(at(4_000)).unwrap();
    fleet.instances[leader].cut_until = u64::MAX;
    let mut changes = Vec::new();
    let mut leadership = fleet.instances[leader].leadership;
    let term = fleet.instances[leader].election.held_term();
    for millis in (4_000..14_000).step_by(STEP as usize) {
        let election = &mut fleet.instances[leader].election;
        changes.extend(leadership.update(election, at(millis)));
        if changes.last() == Some(&LeadershipChange::Suspended) {
            fleet.access_store(leader, at(millis));
        }
    }
    let expected = [LeadershipChange::Suspended, LeadershipChange::Resumed];
    assert_eq!(changes, expected);
    assert_eq!(fleet.instances[leader].election.held_term(), term);
}

#[test]
fn leases_of_an_earlier_leadership_are_waited_out_in_the_same_epoch() {
    let group = |epoch| GroupLeases::new(id("s"), epoch, id("a"), LeaderTerm::new(1));
    let mut earlier = group(GroupEpoch::new(3));
    earlier.grant(&id("i1"), Duration::from_secs(2), at(1_000));
    let mut leases = group(GroupEpoch::new(3));
    leases.keep_leases(&earlier);
    leases.begin_stop(ChangeCause::Unreachable, at(1_500));
    assert!(!leases.advance(at(2_999)));
    assert!(leases.advance(at(3_000)));

    let mut planned = GroupLeases::unconfirmed(
        id("s"),
        GroupEpoch::new(3),
        id("a"),
        LeaderTerm::new(1),
        at(1_500),
    );
    planned.keep_leases(&earlier);
    assert!(!matches!(planned.phase(), GroupPhase::Replacing { .. }));

    let mut later = group(GroupEpoch::new(4));
    later.keep_leases(&earlier);
    later.begin_stop(ChangeCause::Unreachable, at(1_500));
    assert!(later.advance(at(1_500)), "its own leader waited for them");
}

/// A disturbance of one instance: when it begins, whose it is, how long it lasts.
fn disturbance() -> impl Strategy<Value = (u64, usize, u64, bool)> {
    (60..500_u64, 0..COUNT, 4..260_u64, any::<bool>())
}

proptest! {
    /// No primary is replaced while an instance may use it, whenever renewals fail, claims follow,
    /// instances freeze and changes become due.
    #[test]
    fn a_replaced_primary_is_not_in_use(
        disturbances in proptest::collection::vec(disturbance(), 0..6),
        follows_leader in any::<bool>(),
        changes in proptest::collection::vec(60..600_u64, 1..6),
    ) {
        let mut fleet = Fleet::new();
        for step in 0..700 {
            let millis = step * STEP;
            for (_, index, length, is_cut) in
                disturbances.iter().filter(|(start, ..)| *start == step)
            {
                let leader = fleet.leader(at(millis)).filter(|_| follows_leader);
                let instance = &mut fleet.instances[leader.unwrap_or(*index)];
                let until = millis + length * STEP;
                let end = if *is_cut { &mut instance.cut_until } else { &mut instance.frozen_until };
                *end = until.max(*end);
            }
            fleet.is_change_due |= changes.contains(&step);
            fleet.advance(millis);
        }
        let quiet = disturbances.is_empty();
        prop_assert!(!quiet || fleet.changes > 0);
    }
}
