use std::cell::Cell;

use tokio::sync::Notify;

/// State of the checks that are made while statements wait for a target.
#[derive(Debug, Default)]
pub(super) struct WaitingWatch {
    /// Whether the checks are running.
    pub(super) is_running: Cell<bool>,
    /// Notified when the time of the next check changes.
    pub(super) changed: Notify,
}
