use std::time::Duration;

use super::ConnectionRequest;

/// Counts a request that was refused at the queue of a target, under overload control.
pub(super) fn count_refusal(request: &ConnectionRequest, reason: &'static str) {
    if request.weight.is_some() {
        let priority = request.priority.to_string();
        metrics::counter!(
            "resident_queue_refusals_total", "priority" => priority, "reason" => reason
        )
        .increment(1);
    }
}

/// Records how long a request waited in the queue of a target, under overload control.
pub(super) fn record_queue_wait(request: &ConnectionRequest, waited: Duration) {
    if request.weight.is_some() {
        let priority = request.priority.to_string();
        metrics::histogram!("resident_queue_wait_seconds", "priority" => priority)
            .record(waited.as_secs_f64());
    }
}
