use mustardhinge_core::prelude::LogPosition;
use serde::{Deserialize, Serialize};

use super::RowChange;

/// One entry of a group's log: what one transaction changed.
///
/// The entry that opens a term changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Where it stands in the log.
    pub position: LogPosition,
    /// The changes, in order.
    pub changes: Vec<RowChange>,
}
