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

/// A window of time and the thousandths of requests in it.
struct RateWindow {
    start: MonotonicTime,
    end: MonotonicTime,
    admitted: u128,
    allowed: u128,
}

impl RateWindow {
    fn describe(&self, limit: &CustomerLimit) -> RuleViolation {
        let evidence = format!(
            "customer {} of {} got {} requests from {} to {}, {}.{:03} were allowed",
            limit.customer,
            limit.service,
            self.admitted / MILLIS_PER_REQUEST,
            self.start,
            self.end,
            self.allowed / MILLIS_PER_REQUEST,
            self.allowed % MILLIS_PER_REQUEST,
        );
        RuleViolation::new(RuleName::CustomerRate, evidence)
    }
}

/// Finds windows in which a customer certainly got more than burst + rate x window.
///
/// An operation counts within a window only if it began and ended in it, so
/// that the moment of its admission is certainly inside. The worst window of each
/// customer is named.
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
        .filter_map(|start| find_worst_window(limit, &spans, *start))
        .max_by_key(|window| window.admitted.saturating_sub(window.allowed))
        .map(|window| window.describe(limit))
}

fn is_admitted(limit: &CustomerLimit, operation: &OperationRecord) -> bool {
    operation.service == limit.service
        && operation.customer.as_ref() == Some(&limit.customer)
        && operation.result.is_completed()
}

/// Returns the window from `start` with the greatest excess, if one has any.
fn find_worst_window(
    limit: &CustomerLimit,
    spans: &[AdmissionSpan],
    start: MonotonicTime,
) -> Option<RateWindow> {
    let mut admitted: u128 = 0;
    let inside = spans.iter().filter(|span| span.started >= start);
    let windows = inside.map(|span| {
        admitted += MILLIS_PER_REQUEST;
        let time = span.ended.saturating_since(start).as_micros();
        let earned = u128::from(limit.rate.as_millis()) * time / MICROS_PER_SECOND;
        RateWindow {
            start,
            end: span.ended,
            admitted,
            allowed: u128::from(limit.burst.as_millis()) + earned,
        }
    });
    windows
        .filter(|window| window.admitted > window.allowed)
        .max_by_key(|window| window.admitted - window.allowed)
}
