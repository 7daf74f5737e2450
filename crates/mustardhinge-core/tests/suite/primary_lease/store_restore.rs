//! The election of the leader while the store is restored from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::{
    ElectionStep, LeaderElection, LeaderRecord, RecordRevision, StoreEra,
};
use proptest::prelude::*;

use super::{at, id};

/// `renew_deadline` and a lease: the wait for a leader whose record was lost.
const LOST_RECORD_WAIT: u64 = 11_000;
const LEASE: Duration = Duration::from_millis(2_000);

type Stored = Option<(u64, LeaderRecord)>;

/// A store with one record that can be restored from an older copy, and overwritten by another
/// writer.
#[derive(Default)]
struct RestoredStore {
    era: u64,
    number: u64,
    stored: Stored,
    is_unreadable: bool,
    copies: BTreeMap<u64, (u64, Stored)>,
}

impl RestoredStore {
    fn revision(&self, number: u64) -> RecordRevision {
        RecordRevision::new(StoreEra::new(self.era), number)
    }

    fn read(&self) -> Option<(RecordRevision, LeaderRecord)> {
        let (number, record) = self.stored.clone()?;
        Some((self.revision(number), record))
    }

    /// Executes a conditional write, which compares numbers only, like the platform's store.
    fn write(
        &mut self,
        record: &LeaderRecord,
        expected: Option<RecordRevision>,
    ) -> Option<RecordRevision> {
        let current = self.stored.as_ref().map(|(number, _)| *number);
        if current != expected.map(RecordRevision::number) {
            return None;
        }
        self.number += 1;
        self.stored = Some((self.number, record.clone()));
        self.is_unreadable = false;
        Some(self.revision(self.number))
    }

    /// Puts an object that can't be read in the place of the record, if there is one.
    fn overwrite(&mut self) {
        if let Some((number, _)) = &mut self.stored {
            self.number += 1;
            *number = self.number;
            self.is_unreadable = true;
        }
    }

    fn copy(&mut self, millis: u64) {
        self.copies
            .insert(millis, (self.number, self.stored.clone()));
    }

    /// Restores the last copy made by `millis`, or an empty store.
    fn restore(&mut self, millis: u64) {
        let copy = self.copies.range(..=millis).next_back();
        let (number, stored) = copy.map(|(_, copy)| copy.clone()).unwrap_or_default();
        self.copies.retain(|at, _| *at <= millis);
        self.era += 1;
        self.number = number;
        self.stored = stored;
        self.is_unreadable = false;
    }
}

fn election(name: &str, incarnation: u64) -> LeaderElection {
    LeaderElection::new(id(name), incarnation, "127.0.0.1:7000".parse().unwrap(), 0)
}

/// Executes one step. The instance learns the era from the response.
fn run_step(election: &mut LeaderElection, store: &mut RestoredStore, now: MonotonicTime) -> bool {
    match election.next_step(now) {
        ElectionStep::Wait => return false,
        ElectionStep::Read => {
            election.record_read_sent(now);
            election.observe_era(StoreEra::new(store.era), now);
            match store.read() {
                Some((revision, _)) if store.is_unreadable => {
                    election.observe_unreadable(revision, now);
                }
                stored => election.observe_record(stored, now, now),
            }
        }
        ElectionStep::Write { record, expected } => {
            election.record_write_sent(&record, now);
            let written = store.write(&record, expected);
            election.observe_era(StoreEra::new(store.era), now);
            match written {
                Some(revision) => election.confirm_write(revision, record, now),
                None => election.mark_stale(),
            }
        }
    }
    true
}

fn run(election: &mut LeaderElection, store: &mut RestoredStore, from: u64, to: u64) {
    for millis in (from..to).step_by(100) {
        for _ in 0..4 {
            if !run_step(election, store, at(millis)) {
                break;
            }
        }
    }
}

fn fence(election: &LeaderElection) -> Option<u64> {
    election.held_record().map(|(record, _, _)| record.fence)
}

/// Comparing the numbers of two eras would take the restored state for the older one forever.
#[test]
fn revisions_order_by_era_first() {
    let revision = |era, number| RecordRevision::new(StoreEra::new(era), number);
    assert!(revision(1, 3) > revision(0, 90));
    assert!(revision(1, 4) > revision(1, 3));
    assert_ne!(revision(0, 3), revision(1, 3));
}

/// A leader that keeps waiting for a revision of the earlier era would never renew again and lose
/// its leadership, and all primaries would be unusable meanwhile.
#[test]
fn a_leader_writes_its_lost_record_again_under_a_higher_fence() {
    for copied_at in [0, 1_300, 2_500] {
        let (mut store, mut one) = (RestoredStore::default(), election("one", 1));
        for millis in (1_000..3_000).step_by(100) {
            run(&mut one, &mut store, millis, millis + 1);
            store.copy(millis);
        }
        let before = fence(&one);
        store.restore(copied_at);
        for millis in (3_000..6_000).step_by(100) {
            run(&mut one, &mut store, millis, millis + 1);
            assert!(one.may_grant(at(millis)), "at {millis}");
        }
        assert!(fence(&one) > before);
        assert!(
            one.may_promote(at(6_000)),
            "it was the leader all the time, so it doesn't wait"
        );
        let (record, _, _) = one.held_record().unwrap();
        assert_eq!(store.read().map(|(_, record)| record), Some(record.clone()));
    }
}

/// While a leader could not reach the store, another one may have claimed, and the restore may
/// have removed that claim. The leader may go on granting, but must not replace a primary.
#[test]
fn a_leader_that_notices_the_restore_late_waits_before_it_replaces() {
    let (mut store, mut one) = (RestoredStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 3_000);
    store.restore(0);
    run(&mut one, &mut store, 8_000, 8_000 + LOST_RECORD_WAIT - 100);
    assert!(one.may_grant(at(8_000 + LOST_RECORD_WAIT - 200)));
    assert!(!one.may_promote(at(8_000 + LOST_RECORD_WAIT - 200)));
    run(&mut one, &mut store, 18_900, 20_000);
    assert!(one.may_promote(at(20_000)));
}

/// The copy holds the record of an earlier leader that has released its leadership. It says nothing
/// about the leader that followed, so nothing may shorten the wait for that one.
#[test]
fn a_released_record_of_a_copy_ends_no_leadership() {
    let mut store = RestoredStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 2_000);
    let (record, revision) = one.release(at(2_000)).unwrap();
    one.retire();
    store.write(&record, Some(revision)).unwrap();
    store.copy(2_000);
    run(&mut two, &mut store, 2_000, 3_000);
    assert!(two.may_grant(at(3_000)));
    store.restore(2_000);
    let mut three = election("three", 3);
    run(&mut three, &mut store, 3_000, 5_000);
    assert!(!three.may_grant(at(4_900)), "it waits for a renewal first");
    run(&mut three, &mut store, 5_000, 6_000);
    assert!(three.may_grant(at(6_000)));
    three.predecessor_stopped(at(6_000));
    assert!(fence(&three) > fence(&two), "it has never seen that fence");
    run(&mut three, &mut store, 6_000, 4_900 + LOST_RECORD_WAIT);
    assert!(!three.may_promote(at(4_900 + LOST_RECORD_WAIT)));
}

/// A started instance that finds no record must not take a restored store for a new one.
#[test]
fn a_started_instance_waits_for_the_leader_of_a_lost_record() {
    let mut store = RestoredStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 3_000);
    store.restore(0);
    let mut two = election("two", 2);
    for millis in (3_000..20_000).step_by(100) {
        run(&mut two, &mut store, millis, millis + 1);
        let now = at(millis);
        assert!(!(one.may_promote(now) && two.may_grant(now)), "at {now}");
        assert!(!(two.may_promote(now) && one.may_grant(now)), "at {now}");
    }
    assert!(two.may_promote(at(20_000)));
    assert!(fence(&two) > fence(&one));
}

/// Two instances find the record gone. The conditional write must decide between them.
#[test]
fn one_of_two_claimants_wins() {
    let mut store = RestoredStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    store.restore(0);
    for millis in (1_000..9_000).step_by(100) {
        let now = at(millis);
        let steps = [one.next_step(now), two.next_step(now)];
        let are_claims = steps
            .iter()
            .all(|step| matches!(step, ElectionStep::Write { .. }));
        run_step(&mut one, &mut store, now);
        run_step(&mut two, &mut store, now);
        assert!(!(one.may_grant(now) && two.may_grant(now)), "at {now}");
        if are_claims {
            assert!(one.may_grant(now));
        }
    }
    assert!(one.may_grant(at(9_000)) != two.may_grant(at(9_000)));
}

/// A response of the old era that arrives after one of the new era must not bring back the old
/// record or its revision.
#[test]
fn a_response_of_an_earlier_era_changes_nothing() {
    let mut store = RestoredStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 3_000);
    let old = store.read();
    store.restore(0);
    run(&mut two, &mut store, 3_000, 6_000);
    let held = two.held_record().map(|(record, _, _)| record.clone());
    assert!(held.is_some());
    two.observe_record(old.clone(), at(6_000), at(6_000));
    assert_eq!(
        two.held_record().map(|(record, _, _)| record),
        held.as_ref()
    );
    one.observe_era(StoreEra::new(1), at(6_000));
    one.observe_record(old, at(6_000), at(6_000));
    assert!(
        matches!(one.next_step(at(6_200)), ElectionStep::Read),
        "the record must be read again"
    );
}

/// A renewal is executed after the restore, where another leader's record has the expected number
/// again. The response must not count as a renewal.
#[test]
fn a_write_executed_in_a_later_era_renews_nothing() {
    let (mut store, mut one) = (RestoredStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 3_000);
    let ElectionStep::Write { record, expected } = one.next_step(at(3_700)) else {
        panic!("a renewal is due");
    };
    let (_, _, renewed_at) = one.held_record().unwrap();
    one.record_write_sent(&record, at(3_700));
    store.restore(0);
    store.number = expected.unwrap().number() - 1;
    let mut two = election("two", 2);
    run(&mut two, &mut store, 5_000, 7_300);
    let revision = store.write(&record, expected).unwrap();
    one.confirm_write(revision, record, at(3_700));
    assert_eq!(one.held_record().map(|(_, _, at)| at), Some(renewed_at));
    assert!(!one.may_promote(at(7_300)));
    assert_eq!(one.next_step(at(7_300)), ElectionStep::Read);
    run(&mut two, &mut store, 7_300, 9_000);
    let (record, _, _) = two.held_record().unwrap();
    assert_eq!(
        store.read().map(|(_, record)| record),
        Some(record.clone()),
        "the leader whose record was overwritten writes it again"
    );
}

/// Guards against a leader that gives the leadership up because another writer has overwritten its
/// record, and against its successors that wait until an operator removes the object.
#[test]
fn an_overwritten_record_is_written_again_under_a_higher_fence() {
    let (mut store, mut one) = (RestoredStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 3_000);
    let before = fence(&one);
    store.overwrite();
    for millis in (3_000..6_000).step_by(100) {
        run(&mut one, &mut store, millis, millis + 1);
        assert!(one.may_grant(at(millis)), "at {millis}");
    }
    assert!(fence(&one) > before && !store.is_unreadable);
    assert!(one.may_promote(at(6_000)), "it was the leader all the time");
}

/// Guards against a successor that takes an object of another writer for the record of a leader that
/// has ended, and against one that repeats a fence because it has seen none.
#[test]
fn an_unreadable_record_counts_as_that_of_an_unknown_leader() {
    let (mut store, mut one) = (RestoredStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 3_000);
    let expiry = 3_000 + LOST_RECORD_WAIT;
    store.overwrite();
    let mut started = election("two", 1);
    run(&mut started, &mut store, 3_000, 6_000);
    assert!(fence(&started) > fence(&one));
    started.predecessor_stopped(at(6_000));
    for millis in (6_000..expiry).step_by(100) {
        run(&mut started, &mut store, millis, millis + 1);
        assert!(!started.may_promote(at(millis)), "at {millis}");
    }
    run(&mut started, &mut store, expiry, expiry + 4_000);
    assert!(started.may_promote(at(expiry + 4_000)));
}

/// An instance of the simulation and when it last granted leases.
struct Instance {
    election: LeaderElection,
    last_grant: Option<MonotonicTime>,
}

fn check(instances: &[Instance], now: MonotonicTime) -> Result<(), TestCaseError> {
    for (index, one) in instances.iter().enumerate() {
        if !one.election.may_promote(now) {
            continue;
        }
        for other in instances.iter().enumerate().filter(|(at, _)| *at != index) {
            let last = other.1.last_grant;
            prop_assert!(
                last.is_none_or(|last| now.saturating_since(last) >= LEASE),
                "a lease of another leader runs at {now}"
            );
            prop_assert!(!other.1.election.may_promote(now), "two at {now}");
        }
    }
    Ok(())
}

/// Returns the names and the incarnations that hold each fence.
fn record_fences(instances: &[Instance], owners: &mut BTreeMap<u64, String>) {
    for instance in instances {
        if let Some((record, _, _)) = instance.election.held_record() {
            let owner = format!("{}-{}", record.holder, record.incarnation);
            let known = owners.entry(record.fence).or_insert_with(|| owner.clone());
            assert_eq!(*known, owner, "two leaders share fence {}", record.fence);
        }
    }
}

/// Times of the failures of one play, in milliseconds.
#[derive(Default)]
struct Failures {
    /// When the store is restored, and the age of the copy.
    restores: Vec<(u64, u64)>,
    /// Which instance can't reach the store, from when and for how long.
    outages: Vec<(usize, u64, u64)>,
    /// Which instance is restarted, and when.
    restarts: Vec<(usize, u64)>,
    /// When another writer overwrites the record.
    overwrites: Vec<u64>,
}

/// Plays a minute of three instances without any message between them.
fn play(failures: &Failures) -> Result<(), TestCaseError> {
    let mut store = RestoredStore::default();
    let mut instances: Vec<_> = (0..3)
        .map(|index| Instance {
            election: election(&format!("i{index}"), 1),
            last_grant: None,
        })
        .collect();
    let mut owners = BTreeMap::new();
    for millis in (1_000..60_000).step_by(100) {
        let now = at(millis);
        let is_due = |due: u64| due / 100 == millis / 100;
        for (_, age) in failures.restores.iter().filter(|(due, _)| is_due(*due)) {
            store.restore(millis.saturating_sub(*age));
        }
        if failures.overwrites.iter().any(|due| is_due(*due)) {
            store.overwrite();
        }
        for (index, _) in failures.restarts.iter().filter(|(_, due)| is_due(*due)) {
            instances[*index].election = election(&format!("i{index}"), millis);
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            let is_cut = |&&(cut, from, length): &&(usize, u64, u64)| {
                cut == index && (from..from + length).contains(&millis)
            };
            if !failures.outages.iter().any(|outage| is_cut(&outage)) {
                run_step(&mut instance.election, &mut store, now);
            }
            if instance.election.may_grant(now) {
                instance.last_grant = Some(now);
            }
        }
        store.copy(millis);
        record_fences(&instances, &mut owners);
        check(&instances, now)?;
    }
    Ok(())
}

/// A leader that was cut off for 12 s overwrites its successor's record by a renewal whose expected
/// number was issued again. It must not claim at once, since the successor still replaces primaries.
#[test]
fn a_replaced_leader_that_returns_after_restores_claims_no_leadership() {
    let failures = Failures {
        restores: vec![(16_800, 4_501), (18_900, 1_501), (23_300, 3_601)],
        outages: vec![(0, 13_701, 11_800), (2, 1_315, 8_386)],
        restarts: vec![(2, 1_400)],
        ..Failures::default()
    };
    play(&failures).unwrap();
}

proptest! {
    /// Each instance has an interrupted connection to a store that is restored several times and
    /// where another writer overwrites the record, and some are restarted without memory. No leader
    /// may replace a primary while a lease of another one may run, and no two may share a fence.
    #[test]
    fn rights_never_overlap_across_restores(
        restores in prop::collection::vec((1_000_u64..40_000, 0_u64..6_000), 0..4),
        outages in prop::collection::vec((0_usize..3, 1_000_u64..40_000, 100_u64..14_000), 0..8),
        restarts in prop::collection::vec((0_usize..3, 1_000_u64..40_000), 0..3),
        overwrites in prop::collection::vec(1_000_u64..40_000, 0..4),
    ) {
        play(&Failures { restores, outages, restarts, overwrites })?;
    }
}
