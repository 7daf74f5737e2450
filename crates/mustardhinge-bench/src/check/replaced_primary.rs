use super::{RuleName, RuleViolation};
use crate::history::{OperationRecord, OperationResult, PromotionRecord, RunHistory};

/// Finds writes that were confirmed in a term after a greater one had begun.
///
/// Only a write that was sent after the promotion counts: an earlier one may
/// rightly have been committed before it.
#[must_use]
pub fn check_replaced_primary(history: &RunHistory) -> Vec<RuleViolation> {
    history
        .operations
        .iter()
        .filter_map(|operation| {
            let promotion = find_promotion(operation, &history.promotions)?;
            let evidence = format!(
                "operation {} was sent at {} and confirmed below term {}, which {} had opened at {}",
                operation.number, operation.started, promotion.term, promotion.target, promotion.at,
            );
            Some(RuleViolation::new(RuleName::ReplacedPrimary, evidence))
        })
        .collect()
}

fn find_promotion<'a>(
    operation: &OperationRecord,
    promotions: &'a [PromotionRecord],
) -> Option<&'a PromotionRecord> {
    let OperationResult::Completed {
        position: Some(position),
        ..
    } = &operation.result
    else {
        return None;
    };
    operation.kind.written_value()?;
    promotions.iter().find(|promotion| {
        promotion.service == operation.service
            && promotion.term > position.term
            && promotion.at < operation.started
    })
}
