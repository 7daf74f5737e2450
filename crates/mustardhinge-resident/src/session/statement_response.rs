use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

use super::OUTSIDE_HOME_RETRY_AFTER;
use crate::adapter::SessionRefusal;
use crate::target::TargetReply;

/// Response to a caller's statement.
#[derive(Clone, Debug)]
pub enum StatementResponse {
    /// Response of a target, which is forwarded to the caller.
    Reply(TargetReply),
    /// Refusal by the proxy.
    Refused(SessionRefusal),
}

impl StatementResponse {
    /// Creates the refusal of a statement that has not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::Refused(SessionRefusal::NotRun {
            reason,
            retry_after: Some(retry_after),
        })
    }

    /// Creates the refusal of a statement whose target is outside its home regions.
    #[must_use]
    pub const fn outside_home() -> Self {
        Self::not_run(RefusalReason::OutsideHome, OUTSIDE_HOME_RETRY_AFTER)
    }

    /// Returns a one-word reason for logs and metrics.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Reply(_) => "answered",
            Self::Refused(refusal) => refusal.reason(),
        }
    }

    /// Returns whether the statement was refused because a queue was full.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        matches!(
            self,
            Self::Refused(SessionRefusal::NotRun {
                reason: RefusalReason::QueueFull,
                ..
            })
        )
    }
}
