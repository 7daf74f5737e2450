use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;

use super::{TargetFault, TransactionState};

/// One message of a target; `raw` is the message as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetMessage {
    /// A row of an answer.
    Row {
        /// The message as it came.
        raw: Bytes,
        /// The row's text.
        text: Bytes,
    },
    /// The answer's successful end.
    Done {
        /// The message as it came.
        raw: Bytes,
    },
    /// The answer's end without success.
    Failed {
        /// The message as it came.
        raw: Bytes,
        /// Why.
        fault: TargetFault,
    },
    /// The target waits for the next statement.
    Ready {
        /// Where the transaction stands.
        state: TransactionState,
        /// How far the target's log has come.
        position: Option<LogPosition>,
    },
}
