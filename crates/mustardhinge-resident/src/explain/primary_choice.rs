use mustardhinge_core::placement::PlacementExclusion;
use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::WaitDecision;

use super::explain_context::ExplainContext;
use super::millis::millis;
use super::step_decision::StepDecision;
use super::target_choice::TargetChoice;
use super::target_rows::candidate_row;
use crate::session::{
    BUSY_RETRY_AFTER, EVACUATED_RETRY_AFTER, OUTSIDE_HOME_RETRY_AFTER, PrimaryDecision,
    decide_primary,
};
use crate::target::LinkAdmission;

/// Returns the choice of a request that only the primary can run.
pub(super) fn choose_primary(context: &ExplainContext<'_>) -> TargetChoice {
    let ExplainContext {
        node,
        group,
        request,
        now,
        ..
    } = context;
    let mut choice = TargetChoice {
        candidates: Vec::new(),
        links: Vec::new(),
        chosen: None,
        decision: StepDecision::Pass,
        effect: "the request runs at the primary".to_owned(),
        admission_effect: "no target to be admitted at".to_owned(),
    };
    match decide_primary(node, group, request, *now) {
        PrimaryDecision::Serve(_, target) => {
            let need = request.connection_request(*now);
            let link = node.preview_link(&target, &need, *now);
            (choice.decision, choice.admission_effect) = match link.admission {
                LinkAdmission::Run => (StepDecision::Pass, "sent at once".to_owned()),
                LinkAdmission::Wait(_) => (StepDecision::Wait, "waits for a slot".to_owned()),
                LinkAdmission::Refuse(after) => {
                    let after = after.max(BUSY_RETRY_AFTER);
                    let refused = StepDecision::Refuse(RefusalReason::QueueFull, after);
                    (refused, "refused, since it would wait too long".to_owned())
                }
            };
            choice.links.push((target, link));
            choice.chosen = Some(0);
        }
        PrimaryDecision::Evacuated => {
            choice.effect = "refused, since the zone of the primary is evacuated".to_owned();
            choice.decision = StepDecision::Refuse(RefusalReason::NoPrimary, EVACUATED_RETRY_AFTER);
        }
        PrimaryDecision::OutsideHome => {
            (choice.effect, choice.decision) = refuse_outside_home();
        }
        PrimaryDecision::Unusable(WaitDecision::Wait(wait)) => {
            let wait = millis(wait);
            choice.effect = format!("waits for a usable primary, at most {wait} ms");
            choice.decision = StepDecision::Wait;
        }
        PrimaryDecision::Unusable(WaitDecision::Refuse(retry_after)) => {
            choice.effect = "refused, since no primary can be used in time".to_owned();
            choice.decision = StepDecision::Refuse(RefusalReason::NoPrimary, retry_after);
        }
    }
    let chosen = choice.links.first().map(|(target, _)| target.id());
    for target in group.targets() {
        let mut row = candidate_row(context, &target);
        if Some(&row.target) == chosen.as_ref() {
            row.probability = 1.0;
        } else {
            row.exclusion = row.exclusion.or(Some(PlacementExclusion::NotPrimary));
        }
        choice.candidates.push(row);
    }
    choice
}

fn refuse_outside_home() -> (String, StepDecision) {
    let effect = "refused, since the primary is outside the home regions";
    let refused = StepDecision::Refuse(RefusalReason::OutsideHome, OUTSIDE_HOME_RETRY_AFTER);
    (effect.to_owned(), refused)
}
