use std::collections::{BTreeMap, HashSet};

use mustardhinge_core::prelude::*;
use todc_utils::{Action, History, WGLChecker};

use super::{RegisterOperation, RegisterSpec, RuleName, RuleViolation};
use crate::history::{OperationKind, OperationRecord, OperationResult, RunHistory};

/// The greatest number of operations on a row that the search takes on.
const MAX_ROW_OPERATIONS: usize = 400;

/// The greatest number of open operations on a row that the search takes on.
const MAX_OPEN_OPERATIONS: usize = 12;

/// The outcome of the check over all rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowChecks {
    /// The rows whose operations have no order in time.
    pub violations: Vec<RuleViolation>,
    /// The rows checked.
    pub checked: usize,
    /// The rows left out because the search would take too long.
    pub left_out: usize,
}

/// One operation on a row: the span in which it took effect, and its effect.
struct RowOperation {
    started: MonotonicTime,
    ended: MonotonicTime,
    effect: RegisterOperation,
    is_open: bool,
}

/// Searches for an order in time of each row's writes and token-free newest reads.
///
/// A write of unknown outcome may take effect at any time until the end of the
/// history, or never if none of its rows was ever seen with its value.
#[must_use]
pub fn check_linearizable_rows(history: &RunHistory) -> RowChecks {
    let mut checks = RowChecks::default();
    for ((service, key), operations) in collect_rows(history) {
        let open = operations.iter().filter(|row| row.is_open).count();
        if operations.len() > MAX_ROW_OPERATIONS || open > MAX_OPEN_OPERATIONS {
            checks.left_out += 1;
            continue;
        }
        checks.checked += 1;
        let count = operations.len();
        if !WGLChecker::<RegisterSpec>::is_linearizable(make_history(operations)) {
            let evidence = format!("row {key} of {service}: no order of its {count} operations");
            let violation = RuleViolation::new(RuleName::Linearizability, evidence);
            checks.violations.push(violation);
        }
    }
    checks
}

fn collect_rows(history: &RunHistory) -> BTreeMap<(ServiceId, String), Vec<RowOperation>> {
    let mut rows: BTreeMap<_, Vec<RowOperation>> = BTreeMap::new();
    for tries in collect_tries(history).values() {
        for key in tries[0].kind.written_keys() {
            let row = (tries[0].service.clone(), key.clone());
            rows.entry(row)
                .or_default()
                .extend(as_write(tries, history));
        }
    }
    for operation in &history.operations {
        if let OperationKind::NewestRead {
            key,
            has_token: false,
        } = &operation.kind
        {
            let row = (operation.service.clone(), key.clone());
            rows.entry(row).or_default().extend(as_read(operation));
        }
    }
    rows.retain(|_, operations| !operations.is_empty());
    rows
}

/// Returns the tries of each write that may have run, by value; open ones only
/// if some read returned the value.
fn collect_tries(history: &RunHistory) -> BTreeMap<&str, Vec<&OperationRecord>> {
    let seen = collect_seen_values(history);
    let mut tries: BTreeMap<&str, Vec<&OperationRecord>> = BTreeMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value()
            && !operation.result.is_not_run()
        {
            tries.entry(value).or_default().push(operation);
        }
    }
    tries.retain(|value, tries| {
        seen.contains(value) || tries.iter().any(|one| one.result.is_completed())
    });
    tries
}

/// Returns the values that some read returned.
fn collect_seen_values(history: &RunHistory) -> HashSet<&str> {
    history
        .operations
        .iter()
        .filter_map(|operation| match &operation.result {
            OperationResult::Completed { values, .. } => Some(values),
            _ => None,
        })
        .flatten()
        .map(String::as_str)
        .collect()
}

/// Joins the tries of one write: it took effect after the first was sent, and
/// before the first confirmation.
fn as_write(tries: &[&OperationRecord], history: &RunHistory) -> Option<RowOperation> {
    let value = tries[0].kind.written_value()?;
    let confirmed = tries.iter().filter(|one| one.result.is_completed());
    let confirmed = confirmed.map(|one| one.ended).min();
    Some(RowOperation {
        started: tries.iter().map(|one| one.started).min()?,
        ended: confirmed.or_else(|| history.operations.iter().map(|one| one.ended).max())?,
        effect: RegisterOperation::Write(value.to_owned()),
        is_open: confirmed.is_none(),
    })
}

fn as_read(operation: &OperationRecord) -> Option<RowOperation> {
    let OperationResult::Completed { values, .. } = &operation.result else {
        return None;
    };
    Some(RowOperation {
        started: operation.started,
        ended: operation.ended,
        effect: RegisterOperation::Read(values.first().cloned()),
        is_open: false,
    })
}

fn make_history(operations: Vec<RowOperation>) -> History<RegisterOperation> {
    let mut actions = Vec::with_capacity(2 * operations.len());
    for (process, operation) in operations.into_iter().enumerate() {
        let call = (process, Action::Call(operation.effect.clone()));
        let response = (process, Action::Response(operation.effect));
        actions.push((operation.started, false, call));
        actions.push((operation.ended, true, response));
    }
    // At equal times calls go first: the spans then touch, which forbids less.
    actions.sort_by_key(|(time, is_response, _)| (*time, *is_response));
    History::from_actions(actions.into_iter().map(|(_, _, action)| action).collect())
}
