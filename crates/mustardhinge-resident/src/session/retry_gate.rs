//! The limit on internal retries, under overload control.

use super::SessionRequest;
use crate::node::NodeState;

/// Counts an operation that is about to be tried for the first time.
pub(super) fn record_operation(node: &NodeState, request: &SessionRequest) {
    if node.overload_control().is_on() {
        node.retries.borrow_mut().record_operation(
            &request.customer,
            request.route.priority,
            node.clock.now(),
        );
    }
}

/// Returns whether a failed attempt may be followed by another one. Without overload control, only
/// the callers' own limits apply.
pub(super) fn admit_retry(node: &NodeState, request: &SessionRequest) -> bool {
    if !node.overload_control().is_on() {
        return true;
    }
    let priority = request.route.priority;
    let is_admitted =
        node.retries
            .borrow_mut()
            .admit(&request.customer, priority, node.clock.now());
    if !is_admitted {
        metrics::counter!(
            "resident_retry_refusals_total", "priority" => priority.to_string()
        )
        .increment(1);
    }
    is_admitted
}
