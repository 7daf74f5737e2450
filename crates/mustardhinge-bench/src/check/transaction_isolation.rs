use std::collections::HashMap;

use super::{RuleName, RuleViolation};
use crate::history::{RunHistory, TargetCommit};

/// Finds commits that hold rows of two operations, or only a part of one.
#[must_use]
pub fn check_transaction_isolation(history: &RunHistory) -> Vec<RuleViolation> {
    let mut row_counts: HashMap<&str, usize> = HashMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value() {
            row_counts.insert(value, operation.kind.written_keys().len());
        }
    }
    history
        .commits
        .iter()
        .filter_map(|commit| judge(commit, &row_counts))
        .collect()
}

fn judge(commit: &TargetCommit, row_counts: &HashMap<&str, usize>) -> Option<RuleViolation> {
    let known: Vec<(&str, usize)> = commit
        .rows
        .iter()
        .filter_map(|(_, value)| Some((value.as_str(), *row_counts.get(value.as_str())?)))
        .collect();
    let (first, wanted) = *known.first()?;
    let is_mixed = known.iter().any(|(value, _)| *value != first);
    let problem = if is_mixed {
        "mixes rows of two operations"
    } else if known.len() != wanted {
        "holds a part of an operation"
    } else {
        return None;
    };
    let evidence = format!(
        "commit {} at {} {problem}: {:?}",
        commit.position, commit.target, commit.rows
    );
    Some(RuleViolation::new(RuleName::TransactionIsolation, evidence))
}
