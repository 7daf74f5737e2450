use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;

use crate::adapter::{TargetFault, TransactionState};

/// A target's complete response to one statement.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// The rows and the end message as received, to be relayed to the caller.
    pub body: Bytes,
    /// Text of the first row.
    pub first_row: Bytes,
    /// Cause of the failure, or `None` on success.
    pub fault: Option<TargetFault>,
    /// State of the transaction.
    pub state: TransactionState,
    /// Current position of the target's log.
    pub position: Option<LogPosition>,
}
