use super::{RuleName, RuleViolation};
use crate::history::{OperationRecord, OperationResult, PlannedStop, RunHistory};

/// Finds operations that a planned stop of their instance cut.
#[must_use]
pub fn check_planned_stop(history: &RunHistory) -> Vec<RuleViolation> {
    history
        .stops
        .iter()
        .flat_map(|stop| {
            let operations = history.operations.iter();
            operations.filter(move |operation| is_cut(stop, operation))
        })
        .map(|operation| {
            let evidence = format!(
                "operation {} was sent to {} at {} and cut at {}: {:?}",
                operation.number,
                operation.instance,
                operation.started,
                operation.ended,
                operation.result,
            );
            RuleViolation::new(RuleName::PlannedStop, evidence)
        })
        .collect()
}

fn is_cut(stop: &PlannedStop, operation: &OperationRecord) -> bool {
    operation.instance == stop.instance
        && matches!(operation.result, OperationResult::Broken { .. })
        && operation.started <= stop.to
        && operation.ended >= stop.from
}
