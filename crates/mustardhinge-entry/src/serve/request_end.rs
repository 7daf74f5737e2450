use mustardhinge_core::prelude::*;

use crate::wire::{ErrorReply, FrameError, WireFrame};

/// How a request ended for its caller, before ReadyForQuery.
#[derive(Debug)]
pub enum RequestEnd {
    /// All of the answer has been passed on or follows here.
    Answered(Vec<WireFrame>),
    /// As `Answered`, and a write of the session is confirmed at the position.
    Confirmed(Vec<WireFrame>, LogPosition),
    /// The target's own error.
    TargetError(Vec<WireFrame>, WireFrame),
    /// An error of the entry.
    Failed(ErrorReply),
    /// An error of the entry after which the connection is closed.
    Closed(ErrorReply),
    /// The caller has gone.
    CallerGone(FrameError),
}

impl RequestEnd {
    /// Ends a request that did not run, and counts the refusal.
    #[must_use]
    pub fn refused(reason: RefusalReason, retry_after: Option<RetryDelay>, message: &str) -> Self {
        metrics::counter!("mustardhinge_refusals_total", "reason" => reason.label()).increment(1);
        Self::Failed(ErrorReply::not_run(reason, retry_after, message))
    }

    /// Returns the end of a request that was sent to a target before: it can't
    /// be said of it any more that it did not run.
    #[must_use]
    pub fn after_sending(self) -> Self {
        match self {
            Self::Failed(reply) if reply.is_not_run() => {
                Self::unknown("an earlier target did not answer, and no other can be asked")
            }
            other => other,
        }
    }

    /// Ends a request whose outcome is unknown, and counts it.
    #[must_use]
    pub fn unknown(message: &str) -> Self {
        metrics::counter!("mustardhinge_unknown_outcomes_total").increment(1);
        Self::Failed(ErrorReply::unknown(message))
    }
}
