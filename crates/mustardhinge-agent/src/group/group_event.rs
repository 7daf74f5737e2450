use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::ServerReport;

/// What the watch of a group hears.
#[derive(Debug)]
pub(super) enum GroupEvent {
    /// A target answered.
    Report {
        /// What it said.
        report: ServerReport,
        /// When it was asked.
        requested_at: MonotonicTime,
    },
    /// A target gave no answer in time.
    Silence {
        /// The target.
        target: TargetId,
    },
}
