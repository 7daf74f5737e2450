use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, LeaderTerm, LogPosition};
use mustardhinge_core::primary_lease::{ChangeCause, GroupEpoch, GroupLeases, GroupPhase};

use super::{at, id};

const LEASE: Duration = Duration::from_millis(2_000);

fn group() -> GroupLeases {
    GroupLeases::new(id("s"), GroupEpoch::new(1), id("a"), LeaderTerm::new(1))
}

fn position(offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(1), offset)
}

#[test]
fn no_server_is_promoted_while_an_unreachable_instance_may_use_the_primary() {
    let mut group = group();
    let (near, cut): (InstanceId, InstanceId) = (id("near"), id("cut"));
    group.grant(&near, LEASE, at(1_000));
    group.grant(&cut, LEASE, at(1_200));
    group.begin_stop(ChangeCause::Unreachable, at(1_500));
    group.confirm_stopped(&near, GroupEpoch::new(1));
    assert!(
        !group.advance(at(3_199)),
        "the lease of the unreachable instance is valid"
    );
    assert!(group.advance(at(3_200)));
}

#[test]
fn a_planned_change_advances_with_the_last_confirmation() {
    let mut group = group();
    let instances: [InstanceId; 2] = [id("one"), id("two")];
    for instance in &instances {
        group.grant(instance, LEASE, at(1_000));
    }
    group.begin_stop(ChangeCause::Leaving, at(1_100));
    group.confirm_stopped(&instances[0], GroupEpoch::new(1));
    assert!(!group.advance(at(1_150)));
    group.confirm_stopped(&instances[1], GroupEpoch::new(1));
    assert!(group.advance(at(1_200)));
}

#[test]
fn no_lease_is_granted_while_a_primary_is_replaced() {
    let mut group = group();
    let instance: InstanceId = id("one");
    group.begin_stop(ChangeCause::Leaving, at(0));
    assert!(!group.grant(&instance, LEASE, at(10)).usable);
    assert!(group.advance(at(20)), "a refused lease is not waited out");
}

#[test]
fn a_confirmation_for_an_earlier_epoch_ends_no_lease() {
    let mut group = group();
    let instance: InstanceId = id("one");
    group.begin_epoch(GroupEpoch::new(2), id("b"), LeaderTerm::new(2));
    group.grant(&instance, LEASE, at(0));
    group.begin_stop(ChangeCause::Leaving, at(100));
    group.confirm_stopped(&instance, GroupEpoch::new(1));
    assert!(!group.advance(at(200)));
}

#[test]
fn the_successor_of_a_leaving_primary_catches_up_first() {
    let mut group = group();
    group.observe_position(position(20));
    group.begin_stop(ChangeCause::Leaving, at(0));
    assert!(group.advance(at(10)));
    assert!(!group.may_take_over(position(19), at(100)));
    assert!(group.may_take_over(position(20), at(100)));
    assert!(
        group.may_take_over(position(19), at(2_000)),
        "the wait is bounded"
    );
}

#[test]
fn the_successor_of_an_unreachable_primary_takes_over_immediately() {
    let mut group = group();
    group.observe_position(position(20));
    group.begin_stop(ChangeCause::Unreachable, at(0));
    assert!(group.advance(at(10)));
    assert!(group.may_take_over(position(12), at(10)));
    assert!(matches!(group.phase(), GroupPhase::Replacing { .. }));
}

#[test]
fn no_lease_is_granted_on_an_unconfirmed_primary() {
    let epoch = GroupEpoch::new(2);
    let mut group = GroupLeases::unconfirmed(id("s"), epoch, id("b"), LeaderTerm::new(2), at(0));
    let instance: InstanceId = id("one");
    assert!(!group.grant(&instance, LEASE, at(10)).usable);
    group.begin_epoch(epoch.next(), id("b"), LeaderTerm::new(2));
    assert!(group.grant(&instance, LEASE, at(20)).usable);
}

/// Failure: a new leader served an epoch that instances had stopped on the order of the one before. They
/// never use it again, so their callers were refused for good.
#[test]
fn an_epoch_that_an_instance_has_stopped_is_abandoned() {
    let mut group = group();
    let instance: InstanceId = id("one");
    group.grant(&instance, LEASE, at(0));
    let epoch = group.epoch();
    group.confirm_stopped(&instance, epoch.next());
    assert!(!group.is_abandoned(), "another epoch");
    group.confirm_stopped(&instance, epoch);
    assert!(group.is_abandoned());
    group.begin_stop(ChangeCause::Abandoned, at(100));
    assert!(
        !group.advance(at(150)),
        "the report may be older than the lease"
    );
    group.confirm_stopped(&instance, epoch);
    assert!(group.advance(at(200)));
    group.begin_epoch(epoch.next(), id("a"), LeaderTerm::new(1));
    assert!(!group.is_abandoned());
}
