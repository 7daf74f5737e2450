use std::collections::HashMap;

use super::{RuleName, RuleViolation};
use crate::history::{OperationKind, OperationRecord, OperationResult, RunHistory};

/// Finds answers that belong to another request, or are not whole.
///
/// A read of a row may return only values that some operation wrote to that
/// row; a read of rows must return as many as were asked for.
#[must_use]
pub fn check_own_answer(history: &RunHistory) -> Vec<RuleViolation> {
    let mut writers: HashMap<&str, &OperationRecord> = HashMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value() {
            writers.insert(value, operation);
        }
    }
    history
        .operations
        .iter()
        .filter_map(|operation| {
            let problem = find_foreign_answer(operation, &writers)?;
            let evidence = format!(
                "operation {} of session {} at {}: {problem}",
                operation.number, operation.session, operation.instance,
            );
            Some(RuleViolation::new(RuleName::OwnAnswer, evidence))
        })
        .collect()
}

fn find_foreign_answer(
    operation: &OperationRecord,
    writers: &HashMap<&str, &OperationRecord>,
) -> Option<String> {
    let OperationResult::Completed { values, .. } = &operation.result else {
        return None;
    };
    if let OperationKind::OpenRead { rows } = operation.kind {
        let count = values.len();
        let wanted = usize::try_from(rows).unwrap_or(usize::MAX);
        return (count != wanted).then(|| format!("{count} rows came, {rows} were asked for"));
    }
    let key = operation.kind.read_key()?;
    if values.len() > 1 {
        return Some(format!("{} rows came for row {key}", values.len()));
    }
    let value = values.first()?;
    let is_own = writers.get(value.as_str()).is_some_and(|writer| {
        writer.service == operation.service
            && writer
                .kind
                .written_keys()
                .iter()
                .any(|written| written == key)
    });
    (!is_own).then(|| format!("{value:?} was never written to row {key}"))
}
