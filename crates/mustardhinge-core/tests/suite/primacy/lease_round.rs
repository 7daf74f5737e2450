//! What the leader lends in one answer, and what the instance takes from it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, LeaderTerm, MonotonicTime, ServiceId};
use mustardhinge_core::primacy::{
    ChangeCause, EpochDigest, GroupDesk, GroupEpoch, LeaseBook, LeaseRound,
};
use proptest::prelude::*;

use super::{at, id};

const LEASE: Duration = Duration::from_millis(2_000);

fn service(index: usize) -> ServiceId {
    id(&format!("svc-{index}"))
}

fn desks(count: usize) -> HashMap<ServiceId, GroupDesk> {
    let make = |index: usize| {
        let (epoch, primary) = (GroupEpoch::new(1), id(&format!("t-{index}-1")));
        let desk = GroupDesk::new(service(index), epoch, primary, LeaderTerm::new(1));
        (service(index), desk)
    };
    (0..count).map(make).collect()
}

fn take(book: &mut LeaseBook, round: &LeaseRound, asked_at: MonotonicTime, now: MonotonicTime) {
    let told: HashSet<_> = round.changed.iter().map(|grant| &grant.service).collect();
    book.renew(&round.same, &told, asked_at, LEASE);
    for grant in &round.changed {
        book.accept(grant, asked_at, LEASE, now);
    }
}

/// One of 670 primaries is replaced: a handful of groups is told again, not all.
#[test]
fn a_change_is_told_with_few_others() {
    let instance: InstanceId = id("i-1");
    let mut desks = desks(670);
    let mut book = LeaseBook::default();
    for asked in 0..4 {
        let now = at(1_000 + asked * 100);
        let round = LeaseRound::lend(&mut desks, &instance, &book.digest(), LEASE, now);
        take(&mut book, &round, now, now);
    }
    let round = LeaseRound::lend(&mut desks, &instance, &book.digest(), LEASE, at(2_000));
    assert!(round.changed.is_empty());
    let desk = desks.get_mut(&service(3)).unwrap();
    desk.begin_epoch(GroupEpoch::new(2), id("t-3-2"), LeaderTerm::new(2));
    let round = LeaseRound::lend(&mut desks, &instance, &book.digest(), LEASE, at(2_500));
    assert!(round.changed.len() < 40, "{}", round.changed.len());
    take(&mut book, &round, at(2_500), at(2_500));
    for index in 0..670 {
        assert!(book.usable(&service(index), at(4_400)).is_some(), "{index}");
    }
}

/// More groups than fit into a datagram are told by and by; what may not be used is always told.
#[test]
fn what_may_not_be_used_is_told_before_all_else() {
    let instance: InstanceId = id("i-1");
    let mut desks = desks(1_000);
    for index in 0..30 {
        let desk = desks.get_mut(&service(index)).unwrap();
        desk.begin_stop(ChangeCause::Leaving, at(900));
    }
    let known = EpochDigest::for_groups(0);
    let round = LeaseRound::lend(&mut desks, &instance, &known, LEASE, at(1_000));
    let unusable = round.changed.iter().filter(|grant| !grant.usable);
    assert_eq!(unusable.count(), 30);
    assert_eq!(round.changed.len(), 400);
}

#[derive(Clone, Debug)]
enum Step {
    Ask { arrives: bool, delay: u64 },
    Stop(usize),
    Replace(usize),
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 0_u64..3).prop_map(|(arrives, delay)| Step::Ask { arrives, delay }),
        1 => (0_usize..30).prop_map(Step::Stop),
        1 => (0_usize..30).prop_map(Step::Replace),
    ]
}

proptest! {
    /// An instance never uses a primary that the leader believes to be out of its use: whatever
    /// answers are lost, late or overtaken, a desk goes on to replace only after the instance's
    /// lease has ended.
    #[test]
    fn leases_end_before_a_desk_goes_on(steps in prop::collection::vec(steps(), 1..120)) {
        let instance: InstanceId = id("i-1");
        let mut desks = desks(30);
        let mut book = LeaseBook::default();
        let mut late: Vec<(u64, LeaseRound, MonotonicTime)> = Vec::new();
        for (tick, step) in steps.into_iter().enumerate() {
            let now = at(1_000 + tick as u64 * 300);
            match step {
                Step::Ask { arrives, delay } => {
                    let known = book.digest();
                    let round = LeaseRound::lend(&mut desks, &instance, &known, LEASE, now);
                    if arrives {
                        late.push((tick as u64 + delay, round, now));
                    }
                }
                Step::Stop(index) => {
                    let desk = desks.get_mut(&service(index)).unwrap();
                    desk.begin_stop(ChangeCause::Leaving, now);
                }
                Step::Replace(index) => {
                    let desk = desks.get_mut(&service(index)).unwrap();
                    if desk.advance(now) {
                        let used = book.usable(&service(index), now);
                        prop_assert!(used.is_none(), "{index} in use at {now:?}");
                        let epoch = GroupEpoch::new(desk.epoch().get() + 1);
                        let primary = id(&format!("t-{index}-{epoch}"));
                        desk.begin_epoch(epoch, primary, LeaderTerm::new(1));
                    }
                }
            }
            let (due, rest): (Vec<_>, Vec<_>) =
                late.into_iter().partition(|(when, _, _)| *when <= tick as u64);
            late = rest;
            for (_, round, asked_at) in due {
                take(&mut book, &round, asked_at, now);
            }
            for (service, desk) in &desks {
                if let Some((epoch, _)) = book.usable(service, now) {
                    prop_assert!(epoch <= desk.epoch());
                }
            }
        }
    }
}
