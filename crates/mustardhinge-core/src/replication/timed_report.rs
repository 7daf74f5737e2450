use crate::units::MonotonicTime;

use super::ServerReport;

/// A report with the times at which it was asked for and came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedReport {
    /// The report.
    pub report: ServerReport,
    /// When it was asked for; what it says held at that time or later.
    pub requested_at: MonotonicTime,
    /// When it came in.
    pub received_at: MonotonicTime,
}
