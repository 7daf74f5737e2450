use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;

use crate::adapter::{TargetFault, TransactionState};

/// A whole answer of a target to one statement.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// Rows and end as they came, to pass on.
    pub body: Bytes,
    /// The text of the first row.
    pub first_row: Bytes,
    /// Why it failed; none for a success.
    pub fault: Option<TargetFault>,
    /// Where the transaction stands.
    pub state: TransactionState,
    /// How far the target's log has come.
    pub position: Option<LogPosition>,
}
