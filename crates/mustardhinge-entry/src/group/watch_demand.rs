use mustardhinge_core::prelude::*;

/// What the watch of one target is asked to find out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchDemand {
    /// Grows with each report that is wanted at once.
    pub reports_wanted: u64,
    /// The position whose arrival at the target is waited for.
    pub awaited: Option<LogPosition>,
}
