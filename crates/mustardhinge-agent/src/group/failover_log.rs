use mustardhinge_core::failover::{FailoverMachine, FailoverPhase};
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;

/// Logs and counts the phase that a failover machine has entered.
pub(super) fn log_phase(group: &GroupId, machine: &FailoverMachine) {
    let phase = machine.phase();
    metrics::counter!("mustardhinge_failover_phases_total", "phase" => phase.label()).increment(1);
    match phase {
        FailoverPhase::BackingOff => event::PRIMARY_SUSPECTED.log(format_args!("group={group}")),
        FailoverPhase::Claiming => log_start(group, machine),
        FailoverPhase::Watching => log_end(group, machine),
        FailoverPhase::Draining | FailoverPhase::Fencing | FailoverPhase::Promoting => {}
    }
}

fn log_start(group: &GroupId, machine: &FailoverMachine) {
    if let Some(timeline) = machine.timeline() {
        let (term, cause) = (timeline.term, timeline.cause);
        event::TERM_STARTED.log(format_args!("group={group} term={term} cause={cause}"));
    }
}

fn log_end(group: &GroupId, machine: &FailoverMachine) {
    let Some(timeline) = machine.timeline() else {
        return;
    };
    let term = timeline.term;
    let Some(took) = timeline.promotion() else {
        event::TERM_ABANDONED.log(format_args!("group={group} term={term}"));
        return;
    };
    let detection = timeline.detection().unwrap_or_default().as_millis();
    let promotion = took.as_millis();
    event::PRIMARY_PROMOTED.log(format_args!(
        "group={group} term={term} detect_ms={detection} promote_ms={promotion}"
    ));
}
