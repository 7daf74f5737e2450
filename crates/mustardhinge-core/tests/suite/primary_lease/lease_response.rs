//! The leases that the leader grants in one response, and their effect on the instance.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, LeaderTerm, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{
    ChangeCause, EpochDigest, GroupEpoch, GroupLeases, HeldLeases, LeaseResponse,
};
use proptest::prelude::*;

use super::{at, id};

const LEASE: Duration = Duration::from_millis(2_000);

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
    let instance: InstanceId = id("i-1");
    let mut groups = groups(670);
    let mut leases = HeldLeases::default();
    for request in 0..4 {
        let now = at(1_000 + request * 100);
        let response = LeaseResponse::grant(&mut groups, &instance, &leases.digest(), LEASE, now);
        apply_response(&mut leases, &response, now, now);
    }
    let response = LeaseResponse::grant(&mut groups, &instance, &leases.digest(), LEASE, at(2_000));
    assert!(response.changed.is_empty());
    let group = groups.get_mut(&service(3)).unwrap();
    group.begin_epoch(GroupEpoch::new(2), id("t-3-2"), LeaderTerm::new(2));
    let response = LeaseResponse::grant(&mut groups, &instance, &leases.digest(), LEASE, at(2_500));
    assert!(response.changed.len() < 40, "{}", response.changed.len());
    apply_response(&mut leases, &response, at(2_500), at(2_500));
    for index in 0..670 {
        assert!(
            leases.usable(&service(index), at(4_400)).is_some(),
            "{index}"
        );
    }
}

/// More groups than fit into a datagram are sent over several responses; unusable primaries are
/// in every response.
#[test]
fn unusable_primaries_are_sent_first() {
    let instance: InstanceId = id("i-1");
    let mut groups = groups(1_000);
    for index in 0..30 {
        let group = groups.get_mut(&service(index)).unwrap();
        group.begin_stop(ChangeCause::Leaving, at(900));
    }
    let known = EpochDigest::for_groups(0);
    let response = LeaseResponse::grant(&mut groups, &instance, &known, LEASE, at(1_000));
    let unusable = response.changed.iter().filter(|grant| !grant.usable);
    assert_eq!(unusable.count(), 30);
    assert_eq!(response.changed.len(), 400);
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
        let instance: InstanceId = id("i-1");
        let mut groups = groups(30);
        let mut leases = HeldLeases::default();
        let mut late: Vec<(u64, LeaseResponse, MonotonicTime)> = Vec::new();
        for (tick, step) in steps.into_iter().enumerate() {
            let now = at(1_000 + tick as u64 * 300);
            match step {
                Step::Request { arrives, delay } => {
                    let known = leases.digest();
                    let response = LeaseResponse::grant(&mut groups, &instance, &known, LEASE, now);
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
