use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;
use serde::{Deserialize, Serialize};

use super::NotRunCause;
use crate::adapter::{TargetFault, TransactionState};
use crate::target::TargetReply;

/// How a forwarded statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkAnswer {
    /// The target answered.
    Replied(ForwardedReply),
    /// It has not run and will not.
    NotRun(NotRunCause),
    /// It was sent to the target, and no whole answer came.
    Lost {
        /// Whether the target was silent; else the connection broke.
        is_silent: bool,
    },
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedReply {
    /// Rows and end as they came.
    pub body: Bytes,
    /// Why it failed; none for a success.
    pub fault: Option<TargetFault>,
    /// Where the transaction stands.
    pub state: TransactionState,
    /// How far the target's log has come.
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
