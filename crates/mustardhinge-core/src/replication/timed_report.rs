use crate::units::MonotonicTime;

use super::ServerReport;

/// A report with its request time and its receive time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedReport {
    /// The report.
    pub report: ServerReport,
    /// When the report was requested; its content was valid at or after that
    /// time.
    pub requested_at: MonotonicTime,
    /// When the report was received.
    pub received_at: MonotonicTime,
}
