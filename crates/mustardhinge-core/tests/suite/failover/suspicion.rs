//! Tests of failure detection: when a failover starts and when it does not.

use std::ops::Range;

use mustardhinge_core::failover::{FailoverCause, FailoverEvent, FailoverPhase};

use super::FailoverRig;
use super::failover_rig::{is_claim, is_promote};
use crate::group::target;

#[test]
fn a_silent_primary_is_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    let waited = rig.run_until(is_claim);
    assert!((300..400).contains(&waited), "{waited} ms");
    let timeline = rig.machine.timeline().unwrap();
    assert_eq!(timeline.cause, FailoverCause::PrimarySilent);
}

#[test]
fn a_primary_whose_host_refuses_is_replaced_sooner() {
    let mut rig = FailoverRig::new(3, 0);
    rig.kill(0);
    let waited = rig.run_until(is_claim);
    assert!((60..150).contains(&waited), "{waited} ms");
}

#[test]
fn a_primary_that_still_replicates_is_not_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.run(20);
    for _ in 0..100 {
        // The network partition separates the primary from this agent only.
        rig.group.write(0).unwrap();
        for replica in 1..3 {
            rig.group.replicate(replica, usize::MAX);
        }
        rig.group.servers[0].is_up = false;
        rig.run(49);
        rig.group.servers[0].is_up = true;
    }
    assert!(!rig.has_requested(is_claim));
}

#[test]
fn a_primary_with_lagging_replicas_is_not_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    rig.run(4_000);
    assert!(!rig.has_requested(is_claim));
}

#[test]
fn a_primary_that_writes_after_a_long_idle_time_is_not_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.run(6_000);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    rig.run(1_000);
    assert!(!rig.has_requested(is_claim));
}

#[test]
fn a_primary_cut_off_from_its_replicas_is_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    let waited = rig.run_until(is_claim);
    assert!((5_000..5_200).contains(&waited), "{waited} ms");
    let timeline = rig.machine.timeline().unwrap();
    assert_eq!(timeline.cause, FailoverCause::ReplicationStalled);
}

#[test]
fn a_primary_reachable_from_another_instance_is_replaced_later() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    let observed = FailoverEvent::PeerObserved {
        observer: "entry-5".parse().unwrap(),
        target: target(0),
        responded: true,
    };
    for _ in 0..19 {
        rig.handle_event(observed.clone());
        rig.run(100);
    }
    assert!(!rig.has_requested(is_claim));
    rig.handle_event(observed.clone());
    rig.run(200);
    assert!(rig.has_requested(is_claim));
}

#[test]
fn a_paused_agent_restarts_its_failure_detection() {
    let mut rig = FailoverRig::new(3, 0);
    rig.pause(5_000);
    for replica in 1..3 {
        let report = rig.group.report(replica);
        let requested_at = rig.now;
        rig.handle_event(FailoverEvent::Reported {
            report,
            requested_at,
        });
    }
    assert!(!rig.has_requested(is_claim));
    rig.run(1_000);
    assert!(!rig.has_requested(is_claim));
}

/// Lets the agent be delayed several times, by less than a pause each, and report the
/// replicas after each delay.
fn delay_repeatedly(rig: &mut FailoverRig, millis: u64) {
    for _ in 0..4 {
        delay_once(rig, millis, 1..3);
    }
}

/// Lets the agent be delayed and report `servers` afterwards.
fn delay_once(rig: &mut FailoverRig, millis: u64, servers: Range<usize>) {
    rig.pause(millis);
    for server in servers {
        let report = rig.group.report(server);
        let requested_at = rig.now;
        rig.handle_event(FailoverEvent::Reported {
            report,
            requested_at,
        });
    }
}

/// Guards against a busy machine on which the agent replaces a primary that had no
/// time to respond: 420 ms passed, but the agent itself ran for 20 ms of them.
#[test]
fn delays_of_the_agent_do_not_add_up_to_silence_of_the_primary() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    rig.run(20);
    delay_repeatedly(&mut rig, 100);
    assert!(!rig.has_requested(is_claim));
    rig.recover(0);
    rig.run(1_000);
    assert!(!rig.has_requested(is_claim));
}

/// Guards against an agent on a busy machine that never replaces a silent primary.
#[test]
fn a_silent_primary_is_replaced_by_a_delayed_agent() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    rig.run(20);
    delay_repeatedly(&mut rig, 100);
    let waited = rig.run_until(is_claim);
    assert!((100..200).contains(&waited), "{waited} ms");
}

/// Returns after how many milliseconds with delays of 120 ms the agent claims a term, if it does
/// so within `millis`. `servers` report after each delay.
fn claimed_after_delays(rig: &mut FailoverRig, servers: Range<usize>, millis: u64) -> Option<u64> {
    (1..=millis / 120).map(|count| count * 120).find(|_| {
        delay_once(rig, 120, servers.clone());
        rig.has_requested(is_claim)
    })
}

/// Guards against a saturated host on which most of the silence of a dead primary is left out: of
/// each gap of 120 ms only 30 ms counted. The limit is 300 ms; a claim needs an event, so it comes
/// up to one gap later than twice the limit.
#[test]
fn a_silent_primary_is_replaced_while_delays_go_on() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    let claimed = claimed_after_delays(&mut rig, 1..3, 2_000);
    assert!(claimed.is_some_and(|after| after <= 720), "{claimed:?}");
}

/// Guards against a limit that is used up once: after each response of the primary, delays are
/// left out again.
#[test]
fn delays_are_left_out_again_after_each_response() {
    let mut rig = FailoverRig::new(3, 0);
    for _ in 0..5 {
        assert_eq!(claimed_after_delays(&mut rig, 1..3, 480), None);
        delay_once(&mut rig, 1, 0..3);
    }
}

/// Guards against a primary that responds but doesn't replicate, and is kept for four times the
/// stall limit of 5 s on a saturated host.
#[test]
fn a_stalled_primary_is_replaced_while_delays_go_on() {
    let mut rig = FailoverRig::new(3, 0);
    rig.is_replicating = false;
    rig.group.write(0).unwrap();
    let claimed = claimed_after_delays(&mut rig, 0..3, 20_000);
    assert!(
        claimed.is_some_and(|after| (5_000..=5_600).contains(&after)),
        "{claimed:?}"
    );
}

#[test]
fn an_agent_without_a_majority_claims_no_term() {
    let mut rig = FailoverRig::new(3, 0);
    rig.freeze(0);
    rig.freeze(1);
    rig.run(5_000);
    assert!(!rig.has_requested(is_claim));
}

#[test]
fn agents_with_a_greater_rank_act_later() {
    let mut rig = FailoverRig::new(3, 2);
    rig.freeze(0);
    let waited = rig.run_until(is_claim);
    assert!((600..700).contains(&waited), "{waited} ms");
}

#[test]
fn a_group_whose_claimant_crashed_gets_a_primary() {
    let mut rig = FailoverRig::new(3, 0);
    let term = rig.group.report(0).term.next();
    for server in 0..2 {
        assert!(rig.group.fence(server, term, 99));
    }
    rig.run(100);
    assert_eq!(rig.machine.phase(), FailoverPhase::Watching);
    rig.run_until(is_promote);
    let timeline = rig.machine.timeline().unwrap();
    assert_eq!(timeline.cause, FailoverCause::NoPrimary);
    assert_eq!(timeline.term, term.next());
}

#[test]
fn a_stranded_server_follows_its_primary_again() {
    let mut rig = FailoverRig::new(3, 0);
    let term = rig.group.report(0).term.next();
    assert!(rig.group.fence(2, term, 99));
    rig.run(3_000);
    assert_eq!(rig.promoted(), vec![0]);
    assert_eq!(rig.group.report(2).primary, Some(target(0)));
}

#[test]
fn a_primary_that_declines_connections_is_not_replaced() {
    let mut rig = FailoverRig::new(3, 0);
    rig.decline(0);
    rig.run(10_000);
    assert!(!rig.has_requested(is_claim));
    rig.declining.clear();
    let waited = rig.run_until(is_claim);
    assert!((280..400).contains(&waited), "{waited} ms");
}

#[test]
fn a_new_agent_does_not_replace_a_primary_that_declines_connections() {
    let mut rig = FailoverRig::new(3, 0);
    rig.decline(0);
    rig.restart_machine();
    rig.run(10_000);
    assert!(!rig.has_requested(is_claim));
    rig.declining.clear();
    let waited = rig.run_until(is_claim);
    assert!((500..800).contains(&waited), "{waited} ms");
}

#[test]
fn a_primary_that_declines_connections_is_replaced_if_a_majority_leaves_it() {
    let mut rig = FailoverRig::new(3, 0);
    rig.decline(0);
    rig.restart_machine();
    rig.run(1_000);
    let term = rig.group.report(1).term.next();
    assert!(rig.group.fence(1, term, 99));
    rig.run(1_000);
    assert!(!rig.has_requested(is_claim));
    assert!(rig.group.fence(2, term, 99));
    rig.run_until(is_promote);
    assert_ne!(rig.promoted(), vec![0]);
}
