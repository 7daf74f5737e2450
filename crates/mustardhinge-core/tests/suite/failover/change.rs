//! Tests of the steps of a failover, with faults injected at each step.

use mustardhinge_core::failover::{
    FailoverAction, FailoverCause, FailoverEvent, FailoverPhase, FenceTally,
};
use mustardhinge_core::prelude::*;

use super::failover_rig::{is_claim, is_promote, is_publish};
use super::{FailoverRig, StoreState};
use crate::group::{ModelGroup, target};

#[test]
fn a_killed_primary_is_replaced_in_under_a_second() {
    for store in [StoreState::Up, StoreState::Silent] {
        let mut rig = FailoverRig::new(3, 0);
        rig.store = store;
        rig.kill(0);
        let waited = rig.run_until(is_publish);
        assert!(waited < 300, "{store:?}: {waited} ms");
    }
}

#[test]
fn the_server_with_the_newest_log_is_promoted() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    rig.group.replicate(2, 1);
    rig.kill(0);
    rig.run_until(is_publish);
    assert_eq!(rig.promoted(), vec![2]);
}

#[test]
fn the_other_servers_follow_at_once_and_the_old_primary_when_it_returns() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    let (_, lost) = rig.group.write(0).unwrap();
    rig.kill(0);
    rig.run_until(is_publish);
    rig.is_replicating = true;
    rig.run(50);
    let primary = target(rig.promoted()[0]);
    let follower = 3 - rig.promoted()[0];
    assert_eq!(rig.group.report(follower).primary, Some(primary.clone()));
    rig.recover(0);
    rig.run(100);
    assert_eq!(rig.group.report(0).primary, Some(primary));
    assert!(!rig.group.servers[0].log.contains(&lost));
}

#[test]
fn a_lost_claim_leaves_the_term_to_the_other_agent() {
    let mut rig = FailoverRig::new(3, 0);
    rig.store = StoreState::Lost;
    rig.freeze(0);
    rig.run_until(is_claim);
    rig.run(100);
    assert_eq!(rig.count(is_claim), 1);
    assert!(!rig.has_requested(|action| matches!(action, FailoverAction::Fence { .. })));
    rig.store = StoreState::Up;
    rig.run_until(is_promote);
    assert!(rig.machine.timeline().unwrap().term.get() > 7);
}

#[test]
fn a_candidate_that_crashes_is_replaced_in_a_new_term() {
    let mut rig = FailoverRig::new(5, 0);
    rig.kill(0);
    rig.run_until(is_promote);
    let first = rig.promoted()[0];
    rig.kill(first);
    rig.drop_responses();
    rig.run(50);
    let promoted = rig.promoted();
    assert_ne!(promoted.last(), Some(&first));
    let timeline = rig.machine.timeline().unwrap();
    assert_eq!(timeline.cause, FailoverCause::NoPrimary);
    assert!(timeline.promoted_at.is_some());
    assert!(timeline.term.get() >= 3);
}

#[test]
fn a_promotion_whose_answer_was_lost_is_found_by_a_report() {
    let mut rig = FailoverRig::new(3, 0);
    rig.kill(0);
    rig.run_until(is_promote);
    rig.drop_responses();
    rig.is_dropping_responses = true;
    rig.run(30);
    assert!(rig.has_requested(is_publish));
    let timeline = rig.machine.timeline().unwrap();
    assert!(timeline.promoted_at.is_some());
}

#[test]
fn a_publication_is_repeated_until_the_store_has_it() {
    let mut rig = FailoverRig::new(3, 0);
    rig.store = StoreState::Silent;
    rig.kill(0);
    rig.run_until(is_publish);
    rig.run(1_000);
    assert!(rig.machine.timeline().unwrap().published_at.is_none());
    rig.store = StoreState::Up;
    rig.run(300);
    assert!(rig.machine.timeline().unwrap().published_at.is_some());
}

#[test]
fn a_claimant_paused_at_any_step_does_not_continue_its_term() {
    let phases = [
        FailoverPhase::Claiming,
        FailoverPhase::Fencing,
        FailoverPhase::Promoting,
    ];
    for phase in phases {
        let mut rig = FailoverRig::new(3, 0);
        rig.freeze(0);
        while rig.machine.phase() != phase {
            rig.run(1);
        }
        let term = rig.machine.timeline().unwrap().term;
        rig.pause(2_000);
        rig.actions.clear();
        rig.handle_event(FailoverEvent::Tick);
        rig.run(250);
        let continues = rig.has_requested(|action| match action {
            FailoverAction::Fence { term: other, .. }
            | FailoverAction::Promote { term: other, .. } => *other == term,
            _ => false,
        });
        assert!(!continues, "{phase}");
    }
}

fn grant(tally: &mut FenceTally, server: usize, last: LogPosition) {
    let mut report = ModelGroup::new(5).report(server);
    report.term = LeaderTerm::new(3);
    report.last = last;
    tally.record(&report, true);
}

#[test]
fn only_a_server_past_which_a_majority_holds_nothing_is_safe() {
    let position = |term, offset| LogPosition::new(LeaderTerm::new(term), offset);
    let members = ModelGroup::new(5).members();
    let mut tally = FenceTally::new(LeaderTerm::new(3), members);
    grant(&mut tally, 0, position(1, 9));
    grant(&mut tally, 1, position(2, 4));
    grant(&mut tally, 2, position(3, 10));
    assert_eq!(tally.choose(None, &[]), None);
    grant(&mut tally, 3, position(2, 5));
    assert!(tally.is_granted());
    assert_eq!(tally.choose(Some(&target(0)), &[]), Some(&target(3)));
    grant(&mut tally, 4, position(1, 2));
    assert_eq!(tally.choose(Some(&target(1)), &[]), Some(&target(1)));
    assert_eq!(tally.choose(None, &[target(3)]), Some(&target(1)));
    assert!(!tally.is_safe(&target(0)));
}

#[test]
fn a_suspected_primary_that_grants_the_term_is_not_promoted() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    rig.run_until(is_claim);
    rig.recover(0);
    rig.run_until(is_promote);
    assert_ne!(rig.promoted(), vec![0]);
}
