use std::collections::HashMap;

use super::{RuleName, RuleViolation};
use crate::history::{OperationRecord, RunHistory};

/// Finds writes that ran more than once, and confirmed ones that did not last.
///
/// Retries of one request share a value; the surviving log may hold it once.
#[must_use]
pub fn check_exactly_once(history: &RunHistory) -> Vec<RuleViolation> {
    let runs = count_runs(history);
    let mut confirmed = HashMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value() {
            let entry = confirmed.entry(value).or_insert((operation, false));
            entry.1 |= operation.result.is_completed();
        }
    }
    confirmed
        .into_iter()
        .filter_map(|(value, (operation, is_confirmed))| {
            let count = runs.get(value).copied().unwrap_or(0);
            judge(operation, is_confirmed, count)
        })
        .collect()
}

fn count_runs(history: &RunHistory) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for commit in history.commits.iter().filter(|commit| commit.survives) {
        let mut values: Vec<&str> = commit
            .rows
            .iter()
            .map(|(_, value)| value.as_str())
            .collect();
        values.sort_unstable();
        values.dedup();
        for value in values {
            *runs.entry(value).or_default() += 1;
        }
    }
    runs
}

fn judge(operation: &OperationRecord, is_confirmed: bool, count: usize) -> Option<RuleViolation> {
    let problem = match (is_confirmed, count) {
        (_, 2..) => "ran more than once",
        (true, 0) => "was confirmed and is lost",
        _ => return None,
    };
    let evidence = format!(
        "operation {} of session {} at {} {problem}: {:?} stands in {count} surviving commits",
        operation.number,
        operation.session,
        operation.instance,
        operation.kind.written_value().unwrap_or_default(),
    );
    Some(RuleViolation::new(RuleName::ExactlyOnce, evidence))
}
