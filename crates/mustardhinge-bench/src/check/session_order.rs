use std::collections::HashMap;

use mustardhinge_core::prelude::*;

use super::{RuleName, RuleViolation};
use crate::history::{OperationRecord, OperationResult, RunHistory};

/// The writer of each value, to find how old a value is.
type ValueWriters<'a> = HashMap<&'a str, &'a OperationRecord>;

/// Finds reads that returned a value older than the session's own confirmed write.
///
/// A value is older if it is absent, or its write had been confirmed before
/// the session's own write was sent.
#[must_use]
pub fn check_session_order(history: &RunHistory) -> Vec<RuleViolation> {
    let mut writers = ValueWriters::new();
    let mut sessions: HashMap<(&ServiceId, &SessionId), Vec<&OperationRecord>> = HashMap::new();
    for operation in &history.operations {
        if let Some(value) = operation.kind.written_value() {
            writers.insert(value, operation);
        }
        let session = (&operation.service, &operation.session);
        sessions.entry(session).or_default().push(operation);
    }
    sessions
        .values()
        .flat_map(|operations| check_session(operations, &writers))
        .collect()
}

fn check_session(
    operations: &[&OperationRecord],
    writers: &ValueWriters<'_>,
) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for read in operations {
        let Some(key) = read.kind.read_key() else {
            continue;
        };
        let OperationResult::Completed { values, .. } = &read.result else {
            continue;
        };
        let Some(own) = find_own_write(operations, read, key) else {
            continue;
        };
        let value = values.first().map(String::as_str);
        if is_older(value, own, writers) {
            let evidence = format!(
                "session {} confirmed operation {} at {} and read {value:?} from row {key} \
                 at {} in operation {}",
                read.session, own.number, own.instance, read.instance, read.number,
            );
            violations.push(RuleViolation::new(RuleName::ReadYourWrites, evidence));
        }
    }
    violations
}

/// Returns the session's newest write of the row confirmed before the read was sent.
fn find_own_write<'a>(
    operations: &[&'a OperationRecord],
    read: &OperationRecord,
    key: &str,
) -> Option<&'a OperationRecord> {
    operations
        .iter()
        .filter(|write| write.result.is_completed() && write.ended <= read.started)
        .filter(|write| {
            write
                .kind
                .written_keys()
                .iter()
                .any(|written| written == key)
        })
        .max_by_key(|write| write.started)
        .copied()
}

fn is_older(value: Option<&str>, own: &OperationRecord, writers: &ValueWriters<'_>) -> bool {
    if value == own.kind.written_value() {
        return false;
    }
    let Some(value) = value else {
        return true;
    };
    writers
        .get(value)
        .is_some_and(|writer| writer.result.is_completed() && writer.ended < own.started)
}
