use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::ControlSchedule;

use super::ControlState;
use super::copy_queries::next_query_at;

/// Time after which a response of the leader counts as overdue: many round trips.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the inputs for the time of the control loop's next iteration. `has_pending_request`
/// says that a request has yet to be sent.
pub(super) fn control_schedule<P>(
    control: &ControlState<P>,
    requested_at: MonotonicTime,
    (is_closing, is_leader, has_pending_request): (bool, bool, bool),
    now: MonotonicTime,
) -> ControlSchedule {
    let node = &control.node;
    let next_request_at = requested_at + node.lease_settings.request_interval;
    let next_query_at = next_query_at(control, now).unwrap_or(next_request_at);
    let next_request_in = next_request_at.min(next_query_at).saturating_since(now);
    let grant_age = now.saturating_since(control.granted_at.get());
    let has_pending = grant_age > node.lease_settings.request_interval + RESPONSE_TIMEOUT
        || has_pending_request
        || control.newer_state.get().is_some()
        || has_unusable(control, now);
    ControlSchedule {
        is_closing,
        is_leader,
        has_pending,
        next_request_in,
    }
}

/// Returns whether this instance can't use the primary of at least one group.
pub(super) fn has_unusable<P>(control: &ControlState<P>, now: MonotonicTime) -> bool {
    let groups = control.node.groups();
    groups
        .iter()
        .any(|group| control.node.usable_primary(group, now).is_none())
}
