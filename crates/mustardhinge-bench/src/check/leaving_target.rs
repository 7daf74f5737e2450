use super::{RuleName, RuleViolation};
use crate::history::RunHistory;

/// Finds leaving targets that got work after the bound.
#[must_use]
pub fn check_leaving_target(history: &RunHistory) -> Vec<RuleViolation> {
    history
        .leaving
        .iter()
        .filter(|work| work.late_statements > 0)
        .map(|work| {
            let evidence = format!(
                "leaving target {} got {} statements after the bound",
                work.target, work.late_statements
            );
            RuleViolation::new(RuleName::LeavingTarget, evidence)
        })
        .collect()
}
