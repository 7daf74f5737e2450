use crate::units::MonotonicTime;

use super::{FailoverSettings, GroupMonitor};

/// What an election is driven by, at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct ElectionContext<'a> {
    /// What is known of the servers.
    pub(super) monitor: &'a GroupMonitor,
    /// The bounds of the waits.
    pub(super) settings: &'a FailoverSettings,
    /// The present time.
    pub(super) now: MonotonicTime,
}
