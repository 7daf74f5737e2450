use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;
use serde::{Deserialize, Serialize};

use super::NotRunCause;
use crate::adapter::{TargetFault, TransactionState};
use crate::target::TargetReply;

/// Outcome of a forwarded statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedOutcome {
    /// The target responded.
    Replied(ForwardedReply),
    /// The statement has not run and will not.
    NotRun(NotRunCause),
    /// The statement was sent to the target, but no complete response was received.
    Lost {
        /// Whether the target was unresponsive; otherwise the connection broke.
        is_silent: bool,
    },
}

/// A target's complete response to a forwarded statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedReply {
    /// The rows and the end message as received.
    pub body: Bytes,
    /// Cause of the failure, or `None` on success.
    pub fault: Option<TargetFault>,
    /// State of the transaction.
    pub state: TransactionState,
    /// Current position of the target's log.
    pub position: Option<LogPosition>,
}

impl From<TargetReply> for ForwardedReply {
    fn from(reply: TargetReply) -> Self {
        Self {
            body: reply.body,
            fault: reply.fault,
            state: reply.state,
            position: reply.position,
        }
    }
}

impl From<ForwardedReply> for TargetReply {
    fn from(reply: ForwardedReply) -> Self {
        Self {
            body: reply.body,
            first_row: Bytes::new(),
            fault: reply.fault,
            state: reply.state,
            position: reply.position,
        }
    }
}
