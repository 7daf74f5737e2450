//! The leases that the leader grants in one response, and their effect on the instance.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{
    ChangeCause, EpochDigest, GrantLimit, GroupEpoch, GroupLeases, HeldLeases, LeaseDemand,
    LeaseResponse, LeaseSettings,
};
use proptest::prelude::*;

use super::{at, id};

const LEASE: Duration = Duration::from_millis(2_000);
/// Groups in a response to one of 100 instances of which it knows nothing.
const FIRST: usize = 33;

fn service(index: usize) -> ServiceId {
    id(&format!("svc-{index}"))
}

fn groups(count: usize) -> HashMap<ServiceId, GroupLeases> {
    let make = |index: usize| {
        let (epoch, primary) = (GroupEpoch::new(1), id(&format!("t-{index}-1")));
        let group = GroupLeases::new(service(index), epoch, primary, LeaderTerm::new(1));
        (service(index), group)
    };
    (0..count).map(make).collect()
}

/// Returns the digest of an instance that knows all groups.
fn whole_digest(groups: &HashMap<ServiceId, GroupLeases>) -> EpochDigest {
    let mut digest = EpochDigest::for_groups(groups.len());
    for (service, group) in groups {
        digest.add(service, group.epoch(), group.primary());
    }
    digest
}

fn grant(
    groups: &mut HashMap<ServiceId, GroupLeases>,
    known: &EpochDigest,
    wanted: &[ServiceId],
    now: MonotonicTime,
) -> LeaseResponse {
    let demand = LeaseDemand {
        instance: &id("i-1"),
        known,
        wanted: wanted.iter().collect(),
        limit: GrantLimit::for_instances(100, &LeaseSettings::default()),
    };
    LeaseResponse::grant(groups, &demand, LEASE, now)
}

fn apply_response(
    leases: &mut HeldLeases,
    response: &LeaseResponse,
    requested_at: MonotonicTime,
    now: MonotonicTime,
) {
    let sent: HashSet<_> = response
        .changed
        .iter()
        .map(|grant| &grant.service)
        .collect();
    leases.renew(&response.digest, &sent, requested_at, LEASE);
    for grant in &response.changed {
        leases.accept(grant, requested_at, LEASE, now);
    }
}

/// After the replacement of one of 670 primaries, the response must contain only the groups of
/// the same digest part, not all groups.
#[test]
fn a_change_resends_few_other_groups() {
    let mut groups = groups(670);
    let mut leases = HeldLeases::default();
    for request in 0..22 {
        let now = at(1_000 + request * 100);
        let response = grant(&mut groups, &leases.request_digest(670), &[], now);
        apply_response(&mut leases, &response, now, now);
    }
    let response = grant(&mut groups, &leases.digest(), &[], at(3_600));
    assert!(response.changed.is_empty());
    let group = groups.get_mut(&service(3)).unwrap();
    group.begin_epoch(GroupEpoch::new(2), id("t-3-2"), LeaderTerm::new(2));
    let response = grant(&mut groups, &leases.digest(), &[], at(3_700));
    assert!(response.changed.len() < 40, "{}", response.changed.len());
    apply_response(&mut leases, &response, at(3_700), at(3_700));
    for index in 0..670 {
        assert!(
            leases.usable(&service(index), at(5_600)).is_some(),
            "{index}"
        );
    }
}

/// Groups that the instance doesn't know are sent over several responses; unusable primaries are in
/// every response.
#[test]
fn unusable_primaries_are_sent_first() {
    let mut groups = groups(1_000);
    for index in 0..30 {
        let group = groups.get_mut(&service(index)).unwrap();
        group.begin_stop(ChangeCause::Leaving, at(900));
    }
    let known = EpochDigest::for_groups(0);
    let response = grant(&mut groups, &known, &[], at(1_000));
    let unusable = response.changed.iter().filter(|grant| !grant.usable);
    assert_eq!(unusable.count(), 30);
    assert_eq!(response.changed.len(), 30 + FIRST);
}

/// Guards against a first response that occupies the leader's link for seconds, against callers
/// whose group is among the last ones, and against responses that repeat the same groups.
#[test]
fn first_grants_are_split_and_begin_with_wanted_groups() {
    let mut groups = groups(700);
    let mut leases = HeldLeases::default();
    let wanted = [service(5), service(333), service(699)];
    let mut responses = 0;
    while responses == 0 || leases.digest() != whole_digest(&groups) {
        let now = at(1_000 + responses * 140);
        let known = leases.request_digest(700);
        let response = grant(&mut groups, &known, &wanted, now);
        assert!(response.changed.len() <= FIRST + 16);
        apply_response(&mut leases, &response, now, now);
        let is_usable = |service| leases.usable(service, now).is_some();
        assert!(wanted.iter().all(is_usable), "{responses}");
        responses += 1;
    }
    assert!((18..=22).contains(&responses), "{responses}");
}

/// Guards against leases that expire after many primaries were replaced: the groups of a changed
/// part are renewed only by a response that names them.
#[test]
fn known_groups_are_sent_before_unknown_ones() {
    let mut groups = groups(700);
    let mut leases = HeldLeases::default();
    for group in groups.values() {
        leases.accept(&group.to_grant(), at(1_000), LEASE, at(1_000));
    }
    for index in 0..300 {
        let group = groups.get_mut(&service(index)).unwrap();
        group.begin_epoch(GroupEpoch::new(2), id("t-new"), LeaderTerm::new(2));
    }
    let response = grant(&mut groups, &leases.request_digest(700), &[], at(1_500));
    assert_eq!(response.changed.len(), 400);
}

/// Guards against groups that an instance never gets a lease on, because more than 400 others change
/// again and again.
#[test]
fn unknown_groups_are_sent_while_many_known_ones_change() {
    let mut groups = groups(1_000);
    let mut leases = HeldLeases::default();
    let mut first_parts = EpochDigest::for_groups(1_000);
    for index in 0..6 {
        let group = &groups[&service(index)];
        first_parts.add(&service(index), group.epoch(), group.primary());
    }
    let (known, first): (Vec<_>, Vec<_>) =
        (0..1_000).partition(|index| first_parts.is_part_empty(&service(*index)));
    assert!(known.len() > 400 && !first.is_empty());
    for index in &known {
        let grant = groups[&service(*index)].to_grant();
        leases.accept(&grant, at(1_000), LEASE, at(1_000));
    }
    for request in 0..10 {
        let now = at(1_100 + request * 100);
        for index in &known {
            let group = groups.get_mut(&service(*index)).unwrap();
            group.begin_epoch(
                GroupEpoch::new(2 + request),
                id("t-new"),
                LeaderTerm::new(2),
            );
        }
        let response = grant(&mut groups, &leases.request_digest(1_000), &[], now);
        assert!(response.changed.len() <= 400, "{}", response.changed.len());
        apply_response(&mut leases, &response, now, now);
    }
    for index in first {
        assert!(
            leases.usable(&service(index), at(2_100)).is_some(),
            "{index}"
        );
    }
}

/// Guards against a leader that needs many requests to itself for its own leases.
#[test]
fn the_leader_gets_all_groups_at_once() {
    let mut groups = groups(1_000);
    let demand = LeaseDemand {
        instance: &id("i-1"),
        known: &EpochDigest::for_groups(1_000),
        wanted: HashSet::new(),
        limit: GrantLimit::NONE,
    };
    let response = LeaseResponse::grant(&mut groups, &demand, LEASE, at(1_000));
    assert_eq!(response.changed.len(), 1_000);
}

#[derive(Clone, Debug)]
enum Step {
    Request { arrives: bool, delay: u64 },
    Stop(usize),
    Replace(usize),
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 0_u64..3).prop_map(|(arrives, delay)| Step::Request { arrives, delay }),
        1 => (0_usize..30).prop_map(Step::Stop),
        1 => (0_usize..30).prop_map(Step::Replace),
    ]
}

proptest! {
    /// With lost, delayed and reordered responses, a group starts to replace its primary only
    /// after the instance's lease has expired.
    #[test]
    fn leases_expire_before_a_primary_is_replaced(steps in prop::collection::vec(steps(), 1..120)) {
            let mut groups = groups(30);
        let mut leases = HeldLeases::default();
        let mut late: Vec<(u64, LeaseResponse, MonotonicTime)> = Vec::new();
        for (tick, step) in steps.into_iter().enumerate() {
            let now = at(1_000 + tick as u64 * 300);
            match step {
                Step::Request { arrives, delay } => {
                    let response = grant(&mut groups, &leases.digest(), &[], now);
                    if arrives {
                        late.push((tick as u64 + delay, response, now));
                    }
                }
                Step::Stop(index) => {
                    let group = groups.get_mut(&service(index)).unwrap();
                    group.begin_stop(ChangeCause::Leaving, now);
                }
                Step::Replace(index) => {
                    let group = groups.get_mut(&service(index)).unwrap();
                    if group.advance(now) {
                        let used = leases.usable(&service(index), now);
                        prop_assert!(used.is_none(), "{index} in use at {now:?}");
                        let epoch = GroupEpoch::new(group.epoch().get() + 1);
                        let primary = id(&format!("t-{index}-{epoch}"));
                        group.begin_epoch(epoch, primary, LeaderTerm::new(1));
                    }
                }
            }
            let (due, rest): (Vec<_>, Vec<_>) =
                late.into_iter().partition(|(when, _, _)| *when <= tick as u64);
            late = rest;
            for (_, response, requested_at) in due {
                apply_response(&mut leases, &response, requested_at, now);
            }
            for (service, group) in &groups {
                if let Some((epoch, _)) = leases.usable(service, now) {
                    prop_assert!(epoch <= group.epoch());
                }
            }
        }
    }
}
