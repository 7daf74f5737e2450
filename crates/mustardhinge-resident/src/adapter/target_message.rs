use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;

use super::{TargetFault, TransactionState};

/// A message of a target. `raw` is the unchanged message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetMessage {
    /// A row of a result.
    Row {
        /// The unchanged message.
        raw: Bytes,
        /// Text of the row.
        text: Bytes,
    },
    /// The statement succeeded.
    Done {
        /// The unchanged message.
        raw: Bytes,
    },
    /// The statement failed.
    Failed {
        /// The unchanged message.
        raw: Bytes,
        /// Cause of the failure.
        fault: TargetFault,
    },
    /// The target is ready for the next statement.
    Ready {
        /// State of the transaction.
        state: TransactionState,
        /// Log position of the target.
        position: Option<LogPosition>,
    },
}
