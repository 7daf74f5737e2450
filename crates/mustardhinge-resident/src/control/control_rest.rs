use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::ControlSchedule;

use super::ControlState;

/// An answer that takes longer than this is taken for missing: many round trips.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Returns how soon the control has to look again. `is_waiting` says that something is still to
/// be asked, `is_leader` that this instance holds the duty.
pub(super) fn pace_of<P>(
    control: &ControlState<P>,
    asked_at: MonotonicTime,
    (is_closing, is_leader, is_waiting): (bool, bool, bool),
    now: MonotonicTime,
) -> ControlSchedule {
    let node = &control.node;
    let next_request_in = (asked_at + node.lease_settings.request_interval).saturating_since(now);
    let heard = now.saturating_since(control.granted_at.get());
    let has_pending = heard > node.lease_settings.request_interval + ANSWER_WAIT
        || is_waiting
        || control.newer_at.get().is_some()
        || has_unusable(control, now);
    ControlSchedule {
        is_closing,
        is_leader,
        has_pending,
        next_request_in,
    }
}

/// Returns whether the primary of some group can't be used here.
pub(super) fn has_unusable<P>(control: &ControlState<P>, now: MonotonicTime) -> bool {
    let groups = control.node.groups();
    groups
        .iter()
        .any(|group| control.node.usable_primary(group, now).is_none())
}
