use crate::units::MonotonicTime;

use super::{FailoverSettings, GroupMonitor};

/// The input of an election step at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ElectionContext<'a> {
    /// The observed state of the servers.
    pub(super) monitor: &'a GroupMonitor,
    /// The timeouts and intervals.
    pub(super) settings: &'a FailoverSettings,
    /// The current time.
    pub(super) now: MonotonicTime,
}
