use std::collections::HashSet;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, ServiceId};
use mustardhinge_core::primary_lease::{GroupEpoch, HeldLeases, LeaseGrant};

use super::{at, id};

const LEASE: Duration = Duration::from_millis(2_000);

fn grant(epoch: u64, primary: &str, usable: bool) -> LeaseGrant {
    LeaseGrant {
        service: service(),
        epoch: GroupEpoch::new(epoch),
        primary: id(primary),
        usable,
        term: LeaderTerm::new(1),
    }
}

fn service() -> ServiceId {
    id("s")
}

#[test]
fn a_lease_counts_from_the_request_not_from_the_response() {
    let mut leases = HeldLeases::default();
    assert!(leases.accept(&grant(1, "a", true), at(1_000), LEASE, at(2_500)));
    assert!(leases.usable(&service(), at(2_999)).is_some());
    assert!(leases.usable(&service(), at(3_000)).is_none());
}

/// An instance that was frozen detects by its own clock that its lease has expired, without any
/// message.
#[test]
fn results_under_an_expired_lease_are_not_valid() {
    let mut leases = HeldLeases::default();
    leases.accept(&grant(1, "a", true), at(0), LEASE, at(0));
    assert!(leases.is_valid(&service(), GroupEpoch::new(1), at(1_999)));
    assert!(!leases.is_valid(&service(), GroupEpoch::new(1), at(5_500)));
}

#[test]
fn running_work_may_finish_while_an_epoch_closes() {
    let mut leases = HeldLeases::default();
    let epoch = GroupEpoch::new(1);
    leases.accept(&grant(1, "a", true), at(0), LEASE, at(0));
    leases.close(&service(), epoch, at(100));
    assert!(leases.usable(&service(), at(101)).is_none(), "no new work");
    assert!(
        leases.is_valid(&service(), epoch, at(101)),
        "running work is valid"
    );
    leases.stop(&service(), epoch);
    assert!(!leases.is_valid(&service(), epoch, at(102)));
}

/// A delayed grant of a leader that doesn't know of the stop must not reactivate the epoch.
#[test]
fn a_stopped_epoch_is_never_used_again() {
    let mut leases = HeldLeases::default();
    let epoch = GroupEpoch::new(1);
    leases.accept(&grant(1, "a", true), at(0), LEASE, at(0));
    leases.stop(&service(), epoch);
    leases.accept(&grant(1, "a", true), at(200), LEASE, at(201));
    assert!(leases.usable(&service(), at(300)).is_none());
    assert!(!leases.is_valid(&service(), epoch, at(300)));
}

#[test]
fn a_grant_of_a_lower_epoch_is_ignored() {
    let mut leases = HeldLeases::default();
    leases.accept(&grant(2, "b", true), at(0), LEASE, at(0));
    assert!(!leases.accept(&grant(1, "a", true), at(500), LEASE, at(500)));
    let (epoch, primary) = leases.usable(&service(), at(600)).unwrap();
    assert_eq!((epoch, primary.as_str()), (GroupEpoch::new(2), "b"));
}

#[test]
fn results_of_an_earlier_epoch_are_not_valid_in_the_next() {
    let mut leases = HeldLeases::default();
    leases.accept(&grant(1, "a", true), at(0), LEASE, at(0));
    leases.accept(&grant(2, "b", true), at(500), LEASE, at(500));
    assert!(!leases.is_valid(&service(), GroupEpoch::new(1), at(600)));
}

/// One matching digest renews all leases, but must not extend the lease of a closing epoch.
#[test]
fn a_digest_renews_all_leases_except_closing_ones() {
    let mut leases = HeldLeases::default();
    let (first, second): (ServiceId, ServiceId) = ("a".parse().unwrap(), "b".parse().unwrap());
    for service in [&first, &second] {
        let grant = LeaseGrant {
            service: service.clone(),
            epoch: GroupEpoch::new(1),
            primary: "server-1".parse().unwrap(),
            usable: true,
            term: LeaderTerm::new(1),
        };
        leases.accept(&grant, at(0), LEASE, at(1));
    }
    let digest = leases.digest();
    leases.close(&second, GroupEpoch::new(1), at(500));
    let renewed = leases.renew(&digest, &HashSet::new(), at(1_500), LEASE);
    assert_eq!(renewed.len(), 2);
    assert_eq!(leases.digest(), digest, "closing changes no epoch");
    assert!(leases.is_valid(&first, GroupEpoch::new(1), at(3_000)));
    assert!(!leases.is_valid(&second, GroupEpoch::new(1), at(3_000)));
    let next = LeaseGrant {
        service: second,
        epoch: GroupEpoch::new(2),
        primary: "server-2".parse().unwrap(),
        usable: true,
        term: LeaderTerm::new(1),
    };
    leases.accept(&next, at(1_600), LEASE, at(1_601));
    assert_ne!(leases.digest(), digest, "a new epoch does");
}
