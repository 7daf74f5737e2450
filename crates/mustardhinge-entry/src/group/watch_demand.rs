use mustardhinge_core::prelude::*;

/// Work requested from the watch of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchDemand {
    /// Number of immediate reports requested so far.
    pub report_requests: u64,
    /// Log position that the target is expected to apply, if a position is awaited.
    pub awaited_position: Option<LogPosition>,
}
