use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primacy::ControlPace;

use super::ControlState;

/// An answer that takes longer than this is taken for missing: many round trips.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Returns how soon the control has to look again. `is_waiting` says that something is still to
/// be asked, `is_holder` that this instance holds the duty.
pub(super) fn pace_of<P>(
    control: &ControlState<P>,
    asked_at: MonotonicTime,
    (is_closing, is_holder, is_waiting): (bool, bool, bool),
    now: MonotonicTime,
) -> ControlPace {
    let node = &control.node;
    let ask_in = (asked_at + node.primacy.ask_every).saturating_since(now);
    let heard = now.saturating_since(control.granted_at.get());
    let is_unsettled = heard > node.primacy.ask_every + ANSWER_WAIT
        || is_waiting
        || control.newer_at.get().is_some()
        || has_unusable(control, now);
    ControlPace {
        is_closing,
        is_holder,
        is_unsettled,
        ask_in,
    }
}

/// Returns whether the primary of some group can't be used here.
pub(super) fn has_unusable<P>(control: &ControlState<P>, now: MonotonicTime) -> bool {
    let groups = control.node.groups();
    groups
        .iter()
        .any(|group| control.node.usable_primary(group, now).is_none())
}
