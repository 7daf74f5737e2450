use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_process::event;

use super::SlotRequest;

/// Counts and logs a request that was refused at the queue of a target, where routes have
/// different priorities.
pub(super) fn record_refusal(
    target: &TargetId,
    request: &SlotRequest,
    (reason, retry_after): (RefusalReason, RetryDelay),
) {
    if request.weight.is_none() {
        return;
    }
    let priority = request.priority.to_string();
    let label = reason.label();
    event::REQUEST_REFUSED.log(format_args!(
        "reason={label} customer={} target={target} retry_after_ms={} priority={priority}",
        request.customer,
        retry_after.get().as_millis(),
    ));
    metrics::counter!(
        "mustardhinge_queue_refusals_total", "priority" => priority, "reason" => label
    )
    .increment(1);
}

/// Records how long a request waited for a slot, where routes have different priorities.
pub(super) fn record_queue_wait(request: &SlotRequest, waited: Duration) {
    if request.weight.is_some() {
        let priority = request.priority.to_string();
        metrics::histogram!("mustardhinge_queue_wait_seconds", "priority" => priority)
            .record(waited.as_secs_f64());
    }
}
