use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

use crate::adapter::SessionRefusal;
use crate::target::TargetReply;

/// How a statement ended.
#[derive(Clone, Debug)]
pub enum StatementAnswer {
    /// A target answered; its answer is passed on.
    Reply(TargetReply),
    /// The proxy answers.
    Refused(SessionRefusal),
}

impl StatementAnswer {
    /// Makes a refusal of a statement that has not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::Refused(SessionRefusal::NotRun {
            reason,
            retry_after: Some(retry_after),
        })
    }

    /// Returns in one word how it ended, for logs and metrics.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Reply(_) => "answered",
            Self::Refused(refusal) => refusal.reason(),
        }
    }

    /// Returns whether it says that the target was full.
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
