use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::{
    ClaimOrder, ElectionStep, LeaderElection, LeaderRecord, ObservedRecord, RecordRevision,
    StoreEra,
};

use super::{at, id};

/// A store with one record and conditional writes.
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
        let revision = RecordRevision::new(StoreEra::default(), self.revision);
        self.stored = Some((revision, record.clone()));
        Some(revision)
    }
}

fn election(name: &str, incarnation: u64) -> LeaderElection {
    LeaderElection::new(id(name), incarnation, "127.0.0.1:7000".parse().unwrap(), 0)
}

/// Executes the steps of the election until it waits.
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
fn the_first_instance_becomes_leader_immediately() {
    let (mut store, mut one) = (FakeStore::default(), election("one", 1));
    run(&mut one, &mut store, 1_000, 1_200);
    assert!(one.may_grant(at(1_200)));
    assert!(one.may_promote(at(1_200)));
}

#[test]
fn a_second_instance_claims_only_after_the_record_was_unchanged() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    run(&mut two, &mut store, 1_200, 3_100);
    assert!(!two.may_grant(at(3_100)));
    run(&mut two, &mut store, 3_100, 4_000);
    assert!(two.may_grant(at(4_000)));
    let fence =
        |election: &LeaderElection| election.held_record().map(|(record, _, _)| record.fence);
    assert!(
        fence(&two) > fence(&one),
        "each new leader has a higher fence"
    );
}

/// The old leader loses the store and can't be reached. It must stop replacing primaries before
/// the new leader grants leases, and its last lease must expire before the new leader replaces a
/// primary.
#[test]
fn rights_of_two_leaders_never_overlap() {
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

/// Failure: the response to a renewal arrives after another instance has reported a later leader.
/// The replaced leader takes it for its leadership, and grants leases that nobody waits for.
#[test]
fn a_late_response_does_not_return_the_leadership_to_a_replaced_leader() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 2_000);
    let ElectionStep::Write { record, expected } = one.next_step(at(2_500)) else {
        panic!("a renewal is due");
    };
    one.record_write_sent(&record, at(2_500));
    let revision = store.write(&record, expected).unwrap();
    let stored = store.stored.clone();
    run(&mut two, &mut store, 2_500, 6_000);
    let fence = two.held_record().unwrap().0.fence;
    one.observe_fence(fence);
    one.confirm_write(revision, record, at(2_500));
    assert!(!one.may_grant(at(6_000)), "the response to the renewal");
    one.observe_record(stored, at(2_600), at(6_000));
    assert!(!one.may_grant(at(6_000)), "the response to a read");
    run(&mut one, &mut store, 6_000, 6_500);
    assert!(!one.may_grant(at(6_500)));
    assert!(two.may_grant(at(6_500)));
}

/// Both instances keep running, each with interrupted access to the store at varying times.
#[test]
fn two_leaders_never_may_replace_at_the_same_time() {
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
fn a_confirmed_stop_of_the_old_leader_shortens_the_wait_to_one_lease() {
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
fn a_restarted_leader_becomes_leader_again_immediately() {
    let mut store = FakeStore::default();
    let mut before = election("one", 1);
    run(&mut before, &mut store, 1_000, 1_200);
    let mut after = election("one", 2);
    run(&mut after, &mut store, 1_300, 1_500);
    assert!(after.may_grant(at(1_500)));
    assert!(
        !after.may_promote(at(1_500)),
        "leases of its former incarnation may not have expired"
    );
    run(&mut after, &mut store, 1_500, 3_500);
    assert!(after.may_promote(at(3_500)));
}

#[test]
fn a_released_leadership_is_claimed_immediately() {
    let mut store = FakeStore::default();
    let (mut one, mut two) = (election("one", 1), election("two", 2));
    run(&mut one, &mut store, 1_000, 1_200);
    let (record, revision) = one.release(at(1_200)).unwrap();
    one.retire();
    store.write(&record, Some(revision)).unwrap();
    run(&mut two, &mut store, 1_300, 1_900);
    assert!(two.may_grant(at(1_900)));
}

/// A renewal succeeds but its response is lost, and the record is read three seconds later. The
/// renewal counts from when it was sent, not from when it was read.
#[test]
fn a_write_with_a_lost_response_counts_from_its_send_time() {
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
fn a_higher_fence_ends_the_leadership() {
    let mut store = FakeStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 1_200);
    one.observe_fence(2);
    assert!(!one.may_grant(at(1_200)));
}

#[test]
fn no_step_is_due_while_the_leader_sends_messages() {
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

/// A process that released its leadership before a planned stop must not claim it again while it
/// drains.
#[test]
fn a_stopping_leader_does_not_claim_again() {
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

/// Returns the latest time at which a lease granted by `leader` may expire if it makes no more
/// steps after `now`.
fn last_lease_expiry(leader: &LeaderElection, now: MonotonicTime) -> MonotonicTime {
    let steps = (0..12_000).step_by(50).map(Duration::from_millis);
    let last = steps
        .map(|step| now + step)
        .take_while(|at| leader.may_grant(*at));
    let lease = Duration::from_millis(2_000);
    last.last().map_or(now, |at| at + lease)
}

/// The first leader is partitioned and keeps granting leases. The second leader takes over and
/// releases its leadership before the first one's rights have expired. The third leader must
/// still wait for the first.
#[test]
fn a_planned_stop_does_not_shorten_the_wait_for_an_earlier_leader() {
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

/// Leaders stop one after the other, each before it may replace a primary, and the last one is
/// killed. Each successor waited 11 s, so that no leaving primary could be replaced in that time.
#[test]
fn leaders_that_stop_in_turn_do_not_prolong_the_wait() {
    let mut store = FakeStore::default();
    let mut leader = election("zero", 1);
    run(&mut leader, &mut store, 1_000, 6_000);
    assert!(leader.may_promote(at(6_000)));
    for (number, name) in ["one", "two", "three"].into_iter().enumerate() {
        let now = 6_000 + 1_900 * number as u64;
        let (record, revision) = leader.release(at(now)).unwrap();
        leader.retire();
        store.write(&record, Some(revision)).unwrap();
        leader = election(name, 1);
        run(&mut leader, &mut store, now, now + 1_900);
        assert!(leader.may_grant(at(now + 1_900)), "{name}");
    }
    // The last leader is killed and restarts.
    let mut restarted = election("three", 2);
    run(&mut restarted, &mut store, 12_000, 16_500);
    assert!(restarted.may_promote(at(16_500)));
}

/// Guards against a successor that waits for leaders long gone, because the one between them ended
/// before it renewed its claim.
#[test]
fn a_leader_that_ends_before_its_first_renewal_does_not_prolong_the_wait() {
    let mut store = FakeStore::default();
    let mut zero = election("zero", 1);
    run(&mut zero, &mut store, 1_000, 6_000);
    let (record, revision) = zero.release(at(6_000)).unwrap();
    store.write(&record, Some(revision)).unwrap();
    let mut killed = election("one", 1);
    run(&mut killed, &mut store, 6_000, 6_500);
    let (record, _, _) = killed.held_record().expect("the claim");
    assert_eq!(record.renewals, 0);
    let mut restarted = election("one", 2);
    run(&mut restarted, &mut store, 6_500, 11_000);
    assert!(restarted.may_promote(at(11_000)));
}

/// Guards against a stopping instance that grants leases again because the response to a write of its
/// own arrives late.
#[test]
fn a_write_in_flight_does_not_return_the_leadership_to_a_retired_instance() {
    let mut store = FakeStore::default();
    let mut one = election("one", 1);
    run(&mut one, &mut store, 1_000, 2_000);
    let ElectionStep::Write { record, expected } = one.next_step(at(2_500)) else {
        panic!("a renewal is due");
    };
    one.record_write_sent(&record, at(2_500));
    let revision = store.write(&record, expected).unwrap();
    one.retire();
    one.confirm_write(revision, record, at(2_500));
    one.observe_record(store.stored.clone(), at(2_600), at(2_600));
    assert!(!one.may_grant(at(2_600)));
    assert!(one.is_retired());
}

/// As above, with a second leader that restarts and with one that confirms that it stopped.
#[test]
fn a_restart_does_not_shorten_the_wait_for_an_earlier_leader() {
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

/// The store loses the record while its leader keeps granting leases. An instance that knew of
/// that leader must wait for it.
#[test]
fn a_lost_record_does_not_end_the_rights_of_its_leader() {
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
    assert!(
        fence(&two) > fence(&one),
        "each new leader has a higher fence"
    );
}

/// All processes start, and the record's leader doesn't return. Guards against a leader with little
/// processor time while there are larger instances, and against a vacant leadership if there are
/// none.
#[test]
fn small_instances_claim_after_the_larger_ones() {
    let delays = |centicores: u16| (0..64).map(move |rank| first_claim_ms(centicores, rank));
    let slowest_large = delays(50).max().unwrap();
    let fastest_small = delays(12).min().unwrap();
    assert!(slowest_large < fastest_small);
    assert!(delays(12).max().unwrap() <= 2_000 + 63 * 15 + 120 + STEP_MS);
    // Instances between the two claim as they did before the order existed.
    assert!(delays(25).eq((0..64).map(|rank| ceil_to_step(2_000 + rank * 15))));
}

/// Milliseconds between two looks at the next step.
const STEP_MS: u64 = 5;

const fn ceil_to_step(millis: u64) -> u64 {
    millis.div_ceil(STEP_MS) * STEP_MS
}

/// Returns when an instance claims the leadership of one that is gone.
fn first_claim_ms(centicores: u16, incarnation: u64) -> u64 {
    let mut store = FakeStore::default();
    let mut gone = election("gone", 1);
    run_steps(&mut gone, &mut store, at(0));
    let order = ClaimOrder::for_instance(centicores, incarnation);
    let mut other = election("other", 2).with_claim_order(order);
    for now in (0..10_000).step_by(STEP_MS as usize) {
        run_steps(&mut other, &mut store, at(now));
        if other.may_grant(at(now)) {
            return now;
        }
    }
    panic!("no claim");
}

/// The first start of a deployment. Guards against a small first leader, and against a delay of
/// instances that are not small.
#[test]
fn a_small_instance_leaves_the_first_claim_to_others() {
    for (centicores, expected) in [(12, 120), (25, 0), (50, 0)] {
        let mut store = FakeStore::default();
        let order = ClaimOrder::for_instance(centicores, 7);
        let mut first = election("first", 1).with_claim_order(order);
        let mut claimed_at = None;
        for now in (0..1_000).step_by(STEP_MS as usize) {
            run_steps(&mut first, &mut store, at(now));
            if first.may_grant(at(now)) {
                claimed_at = Some(now);
                break;
            }
        }
        assert_eq!(claimed_at, Some(expected), "{centicores}");
    }
}
