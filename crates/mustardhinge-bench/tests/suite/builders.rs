//! Small histories.

use mustardhinge_bench::history::{
    OperationKind, OperationRecord, OperationResult, RunHistory, TargetCommit,
};
use mustardhinge_core::prelude::*;

/// Makes an operation of session `s-1` of customer `c-1` at instance `i-1`.
pub(crate) fn operation(number: u64, span: (u64, u64), kind: OperationKind) -> OperationRecord {
    let started = MonotonicTime::from_millis(span.0);
    OperationRecord {
        number,
        service: id("haulage"),
        customer: Some(id("c-1")),
        session: id("s-1"),
        instance: id("i-1"),
        request: None,
        kind,
        due: started,
        started,
        ended: MonotonicTime::from_millis(span.1),
        result: completed(&[]),
    }
}

pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn write(key: &str, value: &str) -> OperationKind {
    OperationKind::Confirmation {
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

pub(crate) fn read(key: &str, has_token: bool) -> OperationKind {
    OperationKind::NewestRead {
        key: key.to_owned(),
        has_token,
    }
}

pub(crate) fn completed(values: &[&str]) -> OperationResult {
    OperationResult::Completed {
        values: values.iter().map(|value| (*value).to_owned()).collect(),
        position: None,
    }
}

pub(crate) fn not_run(reason: &str) -> OperationResult {
    OperationResult::NotRun {
        reason: reason.to_owned(),
        retry_after_ms: Some(10),
    }
}

pub(crate) fn commit(position: &str, rows: &[(&str, &str)]) -> TargetCommit {
    let own = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
    TargetCommit {
        service: id("haulage"),
        target: id("t-1"),
        position: position.parse().unwrap(),
        at: None,
        rows: rows.iter().map(own).collect(),
        survives: true,
    }
}

pub(crate) fn history(operations: Vec<OperationRecord>, commits: Vec<TargetCommit>) -> RunHistory {
    RunHistory {
        operations,
        commits,
        ..RunHistory::default()
    }
}
