use std::collections::{HashMap, HashSet};

use super::{RuleName, RuleViolation};
use crate::history::{OperationRecord, RunHistory};

/// Finds requests refused as not run whose value a target committed.
///
/// A request id that was tried more than once is judged only if every try was
/// refused.
#[must_use]
pub fn check_not_run_truth(history: &RunHistory) -> Vec<RuleViolation> {
    let committed: HashSet<&str> = history
        .commits
        .iter()
        .flat_map(|commit| commit.rows.iter().map(|(_, value)| value.as_str()))
        .collect();
    let mut tries: HashMap<&str, Vec<&OperationRecord>> = HashMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value() {
            tries.entry(value).or_default().push(operation);
        }
    }
    tries
        .into_iter()
        .filter(|(value, tries)| {
            committed.contains(value) && tries.iter().all(|operation| operation.result.is_not_run())
        })
        .map(|(value, tries)| {
            let evidence = format!(
                "operation {} at {} was refused, yet {value:?} was committed",
                tries[0].number, tries[0].instance,
            );
            RuleViolation::new(RuleName::NotRunTruth, evidence)
        })
        .collect()
}
