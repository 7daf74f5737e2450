use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::explain::CandidateReport;
use mustardhinge_core::prelude::RefusalReason;

use super::choice_walk::ChoiceWalk;
use super::explain_context::ExplainContext;
use super::read_candidates::ReadCandidates;
use super::step_decision::StepDecision;
use super::target_choice::TargetChoice;
use super::target_rows::candidate_row;
use crate::session::{BUSY_RETRY_AFTER, refusal_without_target, usable_targets};
use crate::target::{LinkAdmission, LinkPreview, TargetHandle};

/// Returns the choice of a read that replicas can serve.
pub(super) fn choose_for_read(
    context: &ExplainContext<'_>,
    max_staleness: Duration,
) -> TargetChoice {
    let (node, group, now) = (context.node, &context.group, context.now);
    let targets = usable_targets(node, group, &context.request, now);
    let candidates = ReadCandidates::new(context, &targets, max_staleness);
    let need = context.request.connection_request(now);
    let links: Vec<_> = targets
        .into_iter()
        .map(|target| {
            let link = node.preview_link(&target, &need, now);
            (target, link)
        })
        .collect();
    let walk = ChoiceWalk::follow(&candidates, &links);
    let chosen = walk.most_probable();
    let (decision, effect, admission_effect) = match (chosen, walk.shortest_retry) {
        (Some(index), _) if links[index].1.admission == LinkAdmission::Run => (
            StepDecision::Pass,
            "one of the targets is chosen",
            "sent at once",
        ),
        (Some(_), _) => (
            StepDecision::Wait,
            "one of the targets is chosen",
            "waits at the most probable target",
        ),
        (None, Some(after)) => (
            StepDecision::Refuse(RefusalReason::QueueFull, after.max(BUSY_RETRY_AFTER)),
            "every target that may be used is tried",
            "refused, since it would wait too long at each of them",
        ),
        (None, None) => {
            let (reason, after) = refusal_without_target(node, group, &context.request, now);
            (
                StepDecision::Refuse(reason, after),
                "refused, since no target can be used",
                "no target to be admitted at",
            )
        }
    };
    TargetChoice {
        candidates: candidate_rows(context, &candidates, &links, &walk),
        links,
        chosen,
        decision,
        effect: effect.to_owned(),
        admission_effect: admission_effect.to_owned(),
    }
}

fn candidate_rows(
    context: &ExplainContext<'_>,
    candidates: &ReadCandidates,
    links: &[(Rc<TargetHandle>, LinkPreview)],
    walk: &ChoiceWalk,
) -> Vec<CandidateReport> {
    let targets = context.group.targets();
    let rows = targets.iter().map(|target| {
        let mut row = candidate_row(context, target);
        let mut known = links.iter();
        if let Some(index) = known.position(|(known, _)| Rc::ptr_eq(known, target)) {
            row.probability = walk.probabilities[index];
            row.cost_ms = candidates
                .cost(index)
                .map(|cost| cost.as_secs_f64() * 1_000.0);
            row.free_capacity = candidates.free_capacity(index);
            if row.probability <= 0.0 {
                row.exclusion = candidates.exclusion(index);
            }
        }
        row
    });
    rows.collect()
}
