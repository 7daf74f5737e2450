use mustardhinge_core::explain::{FloorReport, FloorState, LeaseReport, LeaseState};
use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::EpochState;

use super::explain_context::ExplainContext;
use super::millis::millis;
use super::step_decision::StepDecision;
use crate::plan::ReadRule;
use crate::session::{FLOOR_RETRY_AFTER, STALENESS_MARGIN};

/// Returns the state of the lease on the group's primary.
pub(super) fn lease_step(context: &ExplainContext<'_>) -> LeaseReport {
    let ExplainContext {
        node, group, now, ..
    } = context;
    let leases = node.leases.borrow();
    let Some(newest) = leases.newest(group.service()) else {
        return LeaseReport {
            state: LeaseState::Unknown,
            epoch: None,
            primary: None,
            age_ms: None,
            effect: effect(context, LeaseState::Unknown),
        };
    };
    let state = match newest {
        EpochState {
            is_stopped: true, ..
        } => LeaseState::Stopped,
        EpochState {
            closing_since: Some(_),
            ..
        } => LeaseState::Closing,
        EpochState { valid_until, .. } if *now < valid_until => LeaseState::Valid,
        _ => LeaseState::Expired,
    };
    // A lease that was only announced has no end yet.
    let is_granted = newest.valid_until != Default::default();
    let granted_at = newest.valid_until - node.lease_settings.lease;
    LeaseReport {
        state,
        epoch: Some(newest.epoch),
        primary: Some(newest.primary.clone()),
        age_ms: is_granted.then(|| millis(now.saturating_since(granted_at))),
        effect: effect(context, state),
    }
}

fn effect(context: &ExplainContext<'_>, state: LeaseState) -> String {
    let text = match (context.is_at_primary(), state) {
        (true, LeaseState::Valid) => "the primary may run the request",
        (true, _) => "the request needs a lease; see targets for the wait or the refusal",
        (false, LeaseState::Valid) => "positions for reads can be requested from the primary",
        (false, _) => "no position can be requested; reads need one that is known",
    };
    text.to_owned()
}

/// Returns the log position that the request requires of its target.
pub(super) fn floor_step(context: &ExplainContext<'_>) -> (FloorReport, StepDecision) {
    let ExplainContext {
        node, group, now, ..
    } = context;
    let newest = group.newest_position();
    let mut report = FloorReport {
        state: FloorState::NotNeeded,
        position: None,
        newest_age_ms: newest.map(|(at, _)| millis(now.saturating_since(at))),
        max_age_ms: None,
        effect: "the primary has all acknowledged writes".to_owned(),
    };
    let max_staleness = match context.request.route.read_rule {
        _ if context.is_at_primary() => return (report, StepDecision::Pass),
        ReadRule::Primary => return (report, StepDecision::Pass),
        ReadRule::Bounded(age) | ReadRule::Own(age) => age.saturating_sub(STALENESS_MARGIN),
    };
    report.max_age_ms = Some(millis(max_staleness));
    if let Some(floor) = group.floor_since(*now - max_staleness) {
        report.state = FloorState::Known;
        report.position = Some(floor.to_string());
        report.effect = "the target must have applied the position".to_owned();
        return (report, StepDecision::Pass);
    }
    report.state = FloorState::Unknown;
    if node.usable_primary(group, *now).is_some() {
        report.effect = "requests a position from the primary and waits for it".to_owned();
        return (report, StepDecision::Wait);
    }
    report.effect = "refused, since no primary can be asked for a position".to_owned();
    let refused = StepDecision::Refuse(RefusalReason::FloorNotReached, FLOOR_RETRY_AFTER);
    (report, refused)
}
