//! Replicas that may have confirmed commits, over departures, returns and changes of the leader.

use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::{
    CommitCheck, ConfirmingReplicas, EpochMembers, ServerStatus, SuccessorChoice, SuccessorSearch,
};
use proptest::prelude::*;

use super::{at, id};

const ONE: ConfirmingReplicas = ConfirmingReplicas::new(1);

fn position(offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(1), offset)
}

fn status(name: &str, is_primary: bool, offset: u64) -> ServerStatus {
    ServerStatus {
        target: id(name),
        is_primary,
        term: LeaderTerm::new(1),
        received: position(offset),
        is_leaving: false,
    }
}

fn members_of(names: &[&str]) -> EpochMembers {
    EpochMembers::new(names.iter().map(|name| id(name)))
}

fn names(members: &EpochMembers) -> Vec<&str> {
    members.iter().map(TargetId::as_str).collect()
}

/// Failure: a replica that had confirmed commits left the list before the primary crashed, and the one
/// that lacks them was promoted.
#[test]
fn a_departed_replica_is_waited_for() {
    let mut members = members_of(&["b", "c"]);
    let gone = members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    assert_eq!(gone, [id("b")]);
    let behind = [status("a", true, 9), status("c", false, 4)];
    assert!(
        members
            .record_statuses(&behind, position(9), ONE, at(3_000))
            .is_empty()
    );
    let mut search = SuccessorSearch::new(Some(id("a"))).with_members(members.iter().cloned());
    search.record([id("c")], &behind[1..]);
    assert_eq!(search.check(&behind[1], ONE), CommitCheck::Unknown(1));
}

/// A service whose lost replica isn't replaced is not refused for good: the other one takes over once it
/// has received everything that the lost one can have confirmed.
#[test]
fn a_departed_replica_is_not_needed_once_another_has_caught_up() {
    let mut members = members_of(&["b", "c"]);
    members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    let behind = [status("a", true, 9), status("c", false, 4)];
    members.record_statuses(&behind, position(9), ONE, at(3_000));
    let caught_up = [status("a", true, 30), status("c", false, 9)];
    let covered = members.record_statuses(&caught_up, position(9), ONE, at(3_400));
    assert_eq!(covered, [id("b")]);
    assert_eq!(names(&members), ["c"]);
}

/// Failure: a position that was asked for before the departure counted, although the replica confirmed
/// later commits.
#[test]
fn a_position_from_before_the_departure_shows_nothing() {
    let mut members = members_of(&["b", "c"]);
    members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    let statuses = [status("a", true, 9), status("c", false, 9)];
    for asked_at in [900, 1_000, 2_400] {
        let covered = members.record_statuses(&statuses, position(9), ONE, at(asked_at));
        assert!(covered.is_empty(), "asked at {asked_at}");
    }
}

/// Failure: a primary that had lost its log made a replica without commits look complete.
#[test]
fn a_primary_behind_its_own_earlier_position_shows_nothing() {
    let mut members = members_of(&["b", "c"]);
    members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    let restarted = [status("a", true, 0), status("c", false, 4)];
    let covered = members.record_statuses(&restarted, position(9), ONE, at(4_000));
    assert!(covered.is_empty());
}

/// Failure: an outage of the store removed the entry of a replica that runs. It went on to confirm commits
/// and was not asked for them.
#[test]
fn a_replica_that_responds_remains_a_member() {
    let mut members = members_of(&["b", "c"]);
    members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    let statuses = [
        status("a", true, 9),
        status("b", false, 9),
        status("c", false, 9),
    ];
    members.record_statuses(&statuses, position(9), ONE, at(4_000));
    let others = [status("a", true, 9), status("c", false, 9)];
    let covered = members.record_statuses(&others, position(9), ONE, at(4_400));
    assert!(covered.is_empty(), "it ran 0.4 s before");
    let covered = members.record_statuses(&others, position(9), ONE, at(5_500));
    assert_eq!(covered, [id("b")]);
}

#[test]
fn a_replica_that_is_listed_again_is_a_member() {
    let mut members = members_of(&["b", "c"]);
    members.record_listed(&[id("a"), id("c")], &id("a"), at(1_000));
    members.record_listed(&[id("a"), id("b"), id("c"), id("d")], &id("a"), at(1_500));
    assert!(!members.has_departed());
    assert_eq!(names(&members), ["b", "c", "d"]);
}

/// An event of a group of one primary, `a`, and some replicas.
#[derive(Clone, Copy, Debug)]
enum MemberEvent {
    /// The primary commits. The bits say which running replicas receive its log.
    Commit { receivers: u8 },
    /// A replica crashes; it keeps its log.
    Crash { replica: usize },
    /// The entry of a crashed replica expires.
    Expire { replica: usize },
    /// A replica runs and is listed again, with its log, or for the first time.
    Return { replica: usize },
    /// The leader asks the servers for their positions.
    Ask,
    /// The leader is lost. Its successor knows the record alone.
    LoseLeader,
    /// Time passes.
    Wait { millis: u64 },
}

fn member_event(replicas: usize) -> impl Strategy<Value = MemberEvent> {
    let replica = 0..replicas;
    prop_oneof![
        4 => any::<u8>().prop_map(|receivers| MemberEvent::Commit { receivers }),
        2 => replica.clone().prop_map(|replica| MemberEvent::Crash { replica }),
        2 => replica.clone().prop_map(|replica| MemberEvent::Expire { replica }),
        1 => replica.prop_map(|replica| MemberEvent::Return { replica }),
        3 => Just(MemberEvent::Ask),
        1 => Just(MemberEvent::LoseLeader),
        2 => (100..2_500_u64).prop_map(|millis| MemberEvent::Wait { millis }),
    ]
}

/// The servers of the group and its leader.
struct MemberModel {
    received: Vec<u64>,
    runs: Vec<bool>,
    listed: Vec<bool>,
    length: u64,
    acknowledged: u64,
    confirming: ConfirmingReplicas,
    members: EpochMembers,
    recorded: Vec<TargetId>,
    now: MonotonicTime,
}

impl MemberModel {
    fn new(replicas: usize, confirming: usize) -> Self {
        let mut model = Self {
            received: vec![0; replicas],
            runs: vec![true; replicas],
            listed: vec![true; replicas],
            length: 0,
            acknowledged: 0,
            confirming: ConfirmingReplicas::new(confirming),
            members: EpochMembers::default(),
            recorded: Vec::new(),
            now: at(10_000),
        };
        model.follow_list();
        model
    }

    fn name(replica: usize) -> &'static str {
        ["b", "c", "d", "e"][replica]
    }

    fn servers(&self) -> Vec<TargetId> {
        let replicas = (0..self.listed.len()).filter(|replica| self.listed[*replica]);
        let replicas = replicas.map(|replica| id(Self::name(replica)));
        std::iter::once(id("a")).chain(replicas).collect()
    }

    fn replica_statuses(&self) -> Vec<ServerStatus> {
        let running = (0..self.runs.len()).filter(|one| self.runs[*one] && self.listed[*one]);
        let statuses = running.map(|one| status(Self::name(one), false, self.received[one]));
        statuses.collect()
    }

    /// Follows the list and writes the record, as the leader does within milliseconds.
    fn follow_list(&mut self) {
        let servers = self.servers();
        self.members.record_listed(&servers, &id("a"), self.now);
        self.recorded = self.members.iter().cloned().collect();
    }

    fn apply(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::Commit { receivers } => {
                self.length += 1;
                for replica in 0..self.runs.len() {
                    if self.runs[replica] && receivers & (1 << replica) != 0 {
                        self.received[replica] = self.length;
                    }
                }
                let copies = self.received.iter().filter(|one| **one == self.length);
                if copies.count() >= self.confirming.get() {
                    self.acknowledged = self.length;
                }
            }
            MemberEvent::Crash { replica } => self.runs[replica] = false,
            MemberEvent::Expire { replica } => self.listed[replica] &= self.runs[replica],
            MemberEvent::Return { replica } => {
                self.runs[replica] = true;
                self.listed[replica] = true;
            }
            MemberEvent::Ask => {
                let mut statuses = self.replica_statuses();
                statuses.push(status("a", true, self.length));
                let observed = position(self.acknowledged);
                self.members
                    .record_statuses(&statuses, observed, self.confirming, self.now);
            }
            MemberEvent::LoseLeader => {
                self.members = EpochMembers::new(self.recorded.iter().cloned());
            }
            MemberEvent::Wait { millis } => {
                self.now = self.now + Duration::from_millis(millis);
            }
        }
        self.follow_list();
    }

    /// Returns the replica that is promoted when the primary crashes now.
    fn promote(&self) -> Option<usize> {
        let statuses = self.replica_statuses();
        let newest = statuses.iter().max_by_key(|status| status.received)?;
        let choice = SuccessorChoice::Promote(newest.target.clone());
        let members = self.members.iter().cloned();
        let mut search = SuccessorSearch::new(Some(id("a"))).with_members(members);
        search.record(self.servers(), &statuses);
        match search.restrict(choice, &statuses, self.confirming) {
            Ok(SuccessorChoice::Promote(target)) => {
                (0..self.runs.len()).find(|one| Self::name(*one) == target.as_str())
            }
            _ => None,
        }
    }
}

proptest! {
    /// Failure: acknowledged commits were missing at the promoted server, because a replica that had
    /// confirmed them was no member any more when the change began.
    #[test]
    fn a_promoted_server_has_the_commits_that_departed_replicas_confirmed(
        replicas in 1..5_usize,
        confirming in 1..3_usize,
        events in proptest::collection::vec(member_event(4), 1..60),
    ) {
        let mut model = MemberModel::new(replicas, confirming);
        for event in events {
            let is_known = match event {
                MemberEvent::Crash { replica }
                | MemberEvent::Expire { replica }
                | MemberEvent::Return { replica } => replica < replicas,
                _ => true,
            };
            if is_known {
                model.apply(event);
            }
            if let Some(promoted) = model.promote() {
                prop_assert!(
                    model.received[promoted] >= model.acknowledged,
                    "{} lacks {} after {event:?}",
                    MemberModel::name(promoted),
                    model.acknowledged
                );
            }
        }
    }
}
