use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::{
    ElectionStep, LeaderElection, LeaderRecord, ObservedRecord, RecordRevision,
};

use super::{at, id};

/// One record of a store with conditional writes.
#[derive(Default)]
struct FakeStore {
    stored: Option<(RecordRevision, LeaderRecord)>,
    revision: u64,
}

impl FakeStore {
    fn write(
        &mut self,
        record: &LeaderRecord,
        expected: Option<RecordRevision>,
    ) -> Option<RecordRevision> {
        let current = self.stored.as_ref().map(|(revision, _)| *revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        let revision = RecordRevision::new(self.revision);
        self.stored = Some((revision, record.clone()));
        Some(revision)
    }
}

fn election(name: &str, incarnation: u64) -> LeaderElection {
    LeaderElection::new(id(name), incarnation, "127.0.0.1:7000".parse().unwrap(), 0)
}

/// Carries out what the claim wants, as long as it wants something.
fn run_steps(election: &mut LeaderElection, store: &mut FakeStore, now: MonotonicTime) {
    for _ in 0..4 {
        match election.next_step(now) {
            ElectionStep::Wait => return,
            ElectionStep::Read => {
                election.record_read_sent(now);
                election.observe_record(store.stored.clone(), now, now);
            }
            ElectionStep::Write { record, expected } => {
                election.record_write_sent(&record, now);
                match store.write(&record, expected) {
                    Some(revision) => election.confirm_write(revision, record, now),
                    None => election.mark_stale(),
                }
            }
        }
    }
}

fn run(election: &mut LeaderElection, store: &mut FakeStore, from: u64, to: u64) {
    for millis in (from..to).step_by(100) {
        run_steps(election, store, at(millis));
    }
}

#[test]
fn the_first_instance_holds_the_duty_at_once() {
    let (mut store, mut one) = (FakeStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 1_200);
    assert!(one.may_grant(at(1_200)));
    assert!(one.may_promote(at(1_200)));
}

#[test]
fn a_second_one_waits_until_the_record_has_stood_still() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    run(&mut two, &mut store, 1_200, 3_100);
    assert!(!two.may_grant(at(3_100)));
    run(&mut two, &mut store, 3_100, 4_000);
    assert!(two.may_grant(at(4_000)));
    let fence =
        |election: &LeaderElection| election.held_record().map(|(record, _, _)| record.fence);
    assert!(fence(&two) > fence(&one), "fences grow with the holder");
}

/// The old holder lost the store and can't be reached: it replaces nobody any more when the
/// new one may claim, and lends nothing when the new one may replace.
#[test]
fn rights_of_two_holders_never_overlap() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 3_000);
    let lease = Duration::from_millis(2_000);
    for millis in (3_000..20_000).step_by(100) {
        let now = at(millis);
        run_steps(&mut two, &mut store, now);
        assert!(!(one.may_promote(now) && two.may_grant(now)), "at {now}");
        let last_lease_runs = one.may_grant(now) || one.may_grant(now - lease);
        assert!(!(two.may_promote(now) && last_lease_runs), "at {now}");
    }
    assert!(two.may_promote(at(20_000)));
}

/// Both instances run on; the steps of the one are dropped at random times by a store that
/// turns it away.
#[test]
fn never_two_holders_may_replace() {
    for seed in 0..200_u64 {
        let mut store = FakeStore::default();
        let (mut one, mut two) = (election("one", 1), election("two", 2));
        for millis in (1_000..40_000).step_by(100) {
            let now = at(millis);
            let phase = (millis / 100 + seed * 7) % (20 + seed % 60);
            if phase > 15 || phase.is_multiple_of(3) {
                run_steps(&mut one, &mut store, now);
            }
            if phase < 30 {
                run_steps(&mut two, &mut store, now);
            }
            assert!(
                !(one.may_promote(now) && two.may_promote(now)),
                "seed {seed} at {now}"
            );
            assert!(
                !(one.may_promote(now) && two.may_grant(now)),
                "seed {seed} at {now}"
            );
        }
    }
}

#[test]
fn the_word_of_the_old_holder_shortens_the_wait_to_a_lease() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    run(&mut two, &mut store, 1_200, 4_000);
    assert!(!two.may_promote(at(6_500)));
    two.predecessor_stopped(at(4_000));
    run(&mut two, &mut store, 4_000, 6_500);
    assert!(!two.may_promote(at(5_999)));
    assert!(two.may_promote(at(6_100)));
}

#[test]
fn a_restarted_holder_takes_its_duty_back_at_once() {
    let mut store = FakeStore::default();
    let mut before = election("one", 1);
    run(&mut before, &mut store, 1_000, 1_200);
    let mut after = election("one", 2);
    run(&mut after, &mut store, 1_300, 1_500);
    assert!(after.may_grant(at(1_500)));
    assert!(
        !after.may_promote(at(1_500)),
        "leases of its former life may run"
    );
    run(&mut after, &mut store, 1_500, 3_500);
    assert!(after.may_promote(at(3_500)));
}

#[test]
fn a_released_duty_is_claimed_at_once() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    let (record, revision) = one.release(at(1_200)).unwrap();
    one.retire();
    store.write(&record, Some(revision)).unwrap();
    run(&mut two, &mut store, 1_300, 1_900);
    assert!(two.may_grant(at(1_900)));
}

/// A renewal was done but its answer was lost; a later renewal meets the new revision. The
/// renewal that stands counts from when it was sent, not from when it was found.
#[test]
fn a_write_found_done_later_counts_from_its_sending() {
    let mut store = FakeStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 1_200);
    let ElectionStep::Write { record, expected } = one.next_step(at(2_000)) else {
        panic!("a renewal is due");
    };
    one.record_write_sent(&record, at(2_000));
    store.write(&record, expected).unwrap();
    one.mark_stale();
    one.record_read_sent(at(5_000));
    one.observe_record(store.stored.clone(), at(5_000), at(5_000));
    let (_, _, renewed_at) = one.held_record().unwrap();
    assert_eq!(renewed_at, at(2_000));
    assert!(!one.may_promote(at(5_000)));
}

#[test]
fn a_greater_fence_ends_the_duty() {
    let mut store = FakeStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 1_200);
    one.observe_fence(2);
    assert!(!one.may_grant(at(1_200)));
}

#[test]
fn a_holder_that_is_heard_is_not_looked_up() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    run(&mut two, &mut store, 1_200, 1_300);
    let (record, revision, _) = one.held_record().unwrap();
    for millis in (1_300..9_000).step_by(500) {
        let observed = ObservedRecord {
            revision,
            record: record.clone(),
            first_seen: at(millis),
        };
        two.observe_leader(observed, at(millis));
        assert_eq!(two.next_step(at(millis + 400)), ElectionStep::Wait);
    }
}

/// A process that is to end gave the duty up: it must not take it back while it drains.
#[test]
fn a_stopping_holder_does_not_claim_again() {
    let mut store = FakeStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 1_200);
    let (record, revision) = one.release(at(1_200)).unwrap();
    one.retire();
    let revision = store.write(&record, Some(revision)).unwrap();
    one.confirm_write(revision, record, at(1_200));
    run(&mut one, &mut store, 1_200, 6_000);
    assert!(!one.may_grant(at(6_000)));
}

/// Returns when the last lease may end that `holder` gave out at `now` or before.
fn last_lease_expiry(holder: &LeaderElection, now: MonotonicTime) -> MonotonicTime {
    let steps = (0..12_000).step_by(50).map(Duration::from_millis);
    let last = steps
        .map(|step| now + step)
        .take_while(|at| holder.may_grant(*at));
    let lease = Duration::from_millis(2_000);
    last.last().map_or(now, |at| at + lease)
}

/// The first holder is cut off and lends on; the second takes the duty over and gives it up as
/// planned before the first has ended. The third must wait for the first all the same.
#[test]
fn a_planned_stop_does_not_shorten_the_wait_for_the_holder_before_it() {
    let mut store = FakeStore::default();
    let (mut one, mut two, mut three) =
        (election("one", 1), election("two", 2), election("three", 3));
    run(&mut one, &mut store, 1_000, 3_000);
    let expiry = last_lease_expiry(&one, at(3_000));
    run(&mut two, &mut store, 3_000, 6_000);
    let (record, revision) = two.release(at(6_000)).unwrap();
    two.retire();
    store.write(&record, Some(revision)).unwrap();
    for millis in (6_000..20_000).step_by(100) {
        run_steps(&mut three, &mut store, at(millis));
        let is_over = at(millis) >= expiry;
        assert!(is_over || !three.may_promote(at(millis)), "at {millis} ms");
    }
    assert!(three.may_promote(at(20_000)));
}

/// The same with a second holder that is started anew, and with one that says it has stopped.
#[test]
fn a_restart_does_not_shorten_the_wait_for_the_holder_before_it() {
    for has_stopped in [false, true] {
        let mut store = FakeStore::default();
        let (mut one, mut two) = (election("one", 1), election("two", 2));
        run(&mut one, &mut store, 1_000, 3_000);
        let expiry = last_lease_expiry(&one, at(3_000));
        run(&mut two, &mut store, 3_000, 6_000);
        let mut next = if has_stopped {
            election("three", 3)
        } else {
            election("two", 3)
        };
        for millis in (6_000..20_000).step_by(100) {
            run_steps(&mut next, &mut store, at(millis));
            if has_stopped && next.may_grant(at(millis)) {
                next.predecessor_stopped(at(millis));
            }
            let is_over = at(millis) >= expiry;
            assert!(is_over || !next.may_promote(at(millis)), "at {millis} ms");
        }
        assert!(next.may_promote(at(20_000)));
    }
}

/// The store lost the record while its holder lends on: whoever knew of it waits.
#[test]
fn a_lost_record_does_not_end_the_rights_of_its_holder() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 3_000);
    run(&mut two, &mut store, 2_800, 3_000);
    let expiry = last_lease_expiry(&one, at(3_000));
    store.stored = None;
    for millis in (3_000..20_000).step_by(100) {
        run_steps(&mut two, &mut store, at(millis));
        let is_over = at(millis) >= expiry;
        assert!(is_over || !two.may_promote(at(millis)), "at {millis} ms");
    }
    assert!(two.may_promote(at(20_000)));
    let fence =
        |election: &LeaderElection| election.held_record().map(|(record, _, _)| record.fence);
    assert!(fence(&two) > fence(&one), "fences grow with the holder");
}
