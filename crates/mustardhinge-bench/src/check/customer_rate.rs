use mustardhinge_core::prelude::*;

use super::{RuleName, RuleViolation};
use crate::history::{CustomerLimit, OperationRecord, RunHistory};

/// Thousandths of a request in one request.
const MILLIS_PER_REQUEST: u128 = 1_000;

/// Microseconds in a second.
const MICROS_PER_SECOND: u128 = 1_000_000;

/// The span within which an operation was admitted.
struct AdmissionSpan {
    started: MonotonicTime,
    ended: MonotonicTime,
}

/// Finds windows in which a customer certainly got more than burst + rate x window.
///
/// An operation counts within a window only if it began and ended in it, so
/// that the moment of its admission is certainly inside.
#[must_use]
pub fn check_customer_rate(history: &RunHistory) -> Vec<RuleViolation> {
    history
        .limits
        .iter()
        .filter_map(|limit| find_excess(limit, &history.operations))
        .collect()
}

fn find_excess(limit: &CustomerLimit, operations: &[OperationRecord]) -> Option<RuleViolation> {
    let mut spans: Vec<AdmissionSpan> = operations
        .iter()
        .filter(|operation| is_admitted(limit, operation))
        .map(|operation| AdmissionSpan {
            started: operation.started,
            ended: operation.ended,
        })
        .collect();
    spans.sort_by_key(|span| span.ended);
    let mut starts: Vec<MonotonicTime> = spans.iter().map(|span| span.started).collect();
    starts.sort_unstable();
    starts
        .iter()
        .find_map(|start| find_window(limit, &spans, *start))
}

fn is_admitted(limit: &CustomerLimit, operation: &OperationRecord) -> bool {
    operation.service == limit.service
        && operation.customer.as_ref() == Some(&limit.customer)
        && operation.result.is_completed()
}

fn find_window(
    limit: &CustomerLimit,
    spans: &[AdmissionSpan],
    start: MonotonicTime,
) -> Option<RuleViolation> {
    let mut admitted: u128 = 0;
    for span in spans.iter().filter(|span| span.started >= start) {
        admitted += MILLIS_PER_REQUEST;
        let window = span.ended.saturating_since(start).as_micros();
        let earned = u128::from(limit.rate.as_millis()) * window / MICROS_PER_SECOND;
        let allowed = u128::from(limit.burst.as_millis()) + earned;
        if admitted > allowed {
            let evidence = format!(
                "customer {} of {} got {} requests from {start} to {}, {}.{:03} were allowed",
                limit.customer,
                limit.service,
                admitted / MILLIS_PER_REQUEST,
                span.ended,
                allowed / MILLIS_PER_REQUEST,
                allowed % MILLIS_PER_REQUEST,
            );
            return Some(RuleViolation::new(RuleName::CustomerRate, evidence));
        }
    }
    None
}
