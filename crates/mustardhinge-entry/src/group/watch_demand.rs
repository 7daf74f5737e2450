use mustardhinge_core::prelude::*;

/// Work requested from the watch of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchDemand {
    /// Number of immediate reports requested so far.
    pub reports_wanted: u64,
    /// Log position that the target is expected to apply, if one is awaited.
    pub awaited: Option<LogPosition>,
}
