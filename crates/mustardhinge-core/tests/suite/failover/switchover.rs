//! Tests of planned changes of primary.

use mustardhinge_core::failover::{FailoverAction, FailoverEvent, SwitchoverRefusal};

use super::FailoverRig;
use super::failover_rig::{is_claim, is_promote};
use crate::group::target;

fn request(rig: &mut FailoverRig, successor: Option<usize>) {
    rig.handle_event(FailoverEvent::SwitchoverRequested {
        successor: successor.map(target),
    });
}

fn is_hold(action: &FailoverAction) -> bool {
    matches!(action, FailoverAction::HoldWrites { .. })
}

fn is_release(action: &FailoverAction) -> bool {
    *action == FailoverAction::ReleaseWrites
}

fn refusal(rig: &FailoverRig) -> Option<SwitchoverRefusal> {
    rig.actions.iter().find_map(|(_, action)| match action {
        FailoverAction::RefuseSwitchover(refusal) => Some(*refusal),
        _ => None,
    })
}

#[test]
fn a_switchover_holds_writes_for_less_than_100_ms() {
    let mut rig = FailoverRig::new(3, 1);
    request(&mut rig, Some(2));
    rig.run_until(is_hold);
    let held = rig.run_until(is_release);
    assert!(held < 100, "{held} ms");
    assert_eq!(rig.promoted(), vec![2]);
    rig.run(50);
    assert_eq!(rig.group.report(0).primary, Some(target(2)));
    assert_eq!(refusal(&rig), None);
}

#[test]
fn a_switchover_waits_for_the_successors_log() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    rig.group.replicate(1, 1);
    request(&mut rig, Some(2));
    rig.run(100);
    assert!(!rig.has_requested(is_promote));
    rig.group.replicate(2, 1);
    rig.run(20);
    assert_eq!(rig.promoted(), vec![2]);
}

#[test]
fn a_switchover_whose_writes_do_not_drain_is_abandoned() {
    let mut rig = FailoverRig::new(3, 0);
    rig.can_drain = false;
    request(&mut rig, None);
    rig.run(600);
    assert!(rig.has_requested(is_release));
    assert!(!rig.has_requested(is_promote));
    assert_eq!(refusal(&rig), Some(SwitchoverRefusal::DrainTimedOut));
    assert_eq!(rig.machine.primary().unwrap().target, target(0));
}

#[test]
fn a_switchover_without_successor_or_primary_is_refused() {
    let mut rig = FailoverRig::new(3, 0);
    request(&mut rig, Some(0));
    assert_eq!(refusal(&rig), Some(SwitchoverRefusal::NoSuccessor));
    let mut rig = FailoverRig::new(3, 0);
    request(&mut rig, None);
    request(&mut rig, None);
    assert_eq!(refusal(&rig), Some(SwitchoverRefusal::ChangeUnderWay));
}

#[test]
fn a_primary_that_crashes_during_a_switchover_is_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    request(&mut rig, Some(2));
    rig.run_until(is_hold);
    rig.kill(0);
    rig.can_drain = false;
    rig.drop_responses();
    rig.actions.clear();
    rig.run(350);
    assert!(rig.has_requested(is_claim) && rig.has_requested(is_promote));
    assert!(rig.has_requested(is_release));
    assert_ne!(rig.machine.primary().unwrap().target, target(0));
}

#[test]
fn a_leaving_primary_hands_over_to_a_server_that_stays() {
    let mut rig = FailoverRig::new(3, 0);
    rig.machine.set_leaving([target(0), target(1)]);
    rig.run(1_200);
    assert_eq!(rig.promoted(), vec![2]);
    assert!(rig.has_requested(is_hold) && rig.has_requested(is_release));
    rig.machine.set_leaving([target(0), target(1), target(2)]);
    rig.run(3_000);
    assert_eq!(rig.promoted(), vec![2]);
    assert_eq!(rig.count(is_hold), 1);
}

#[test]
fn a_leaving_server_takes_over_only_if_no_other_can() {
    let mut rig = FailoverRig::new(3, 0);
    rig.machine.set_leaving([target(2)]);
    rig.kill(0);
    rig.run(500);
    assert_eq!(rig.promoted(), vec![1]);
}

#[test]
fn writes_are_drained_before_a_stranded_server_rejoins() {
    let mut rig = FailoverRig::new(3, 0);
    let term = rig.group.report(0).term.next();
    assert!(rig.group.fence(2, term, 99));
    rig.run_until(is_promote);
    let mut kinds = rig.actions.iter().map(|(_, action)| action);
    assert!(kinds.any(is_hold));
    assert!(kinds.any(|action| matches!(action, FailoverAction::Fence { .. })));
}
