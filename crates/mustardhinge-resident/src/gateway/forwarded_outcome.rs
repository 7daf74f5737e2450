use bytes::Bytes;
use mustardhinge_core::prelude::LogPosition;
use serde::{Deserialize, Serialize};

use super::NotRunCause;
use super::frame_codec::MAX_FRAME_BYTES;
use crate::adapter::{TargetFault, TransactionState};
use crate::target::TargetReply;

/// Maximum size of the rows in a forwarded reply; what a frame holds, less its other fields.
const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES - 64 * 1024;

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

impl ForwardedOutcome {
    /// Replaces a reply that doesn't fit into a frame. Only that statement is lost, not the
    /// connection, which carries those of other callers.
    #[must_use]
    pub(super) fn limit_size(self) -> Self {
        match self {
            Self::Replied(reply) if reply.body.len() > MAX_BODY_BYTES => {
                metrics::counter!("resident_oversized_replies_total").increment(1);
                Self::Lost { is_silent: false }
            }
            outcome => outcome,
        }
    }
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
