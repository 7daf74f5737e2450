use mustardhinge_core::prelude::*;

use crate::wire::{ErrorReply, FrameError, WireFrame};

/// Result of a request for its caller, before ReadyForQuery is sent.
#[derive(Debug)]
pub enum RequestEnd {
    /// The request succeeded. The frames are the part of the response that has not
    /// been forwarded yet.
    Responded(Vec<WireFrame>),
    /// The request succeeded and its write is confirmed at this position.
    Confirmed(Vec<WireFrame>, LogPosition),
    /// The target returned an error, after these frames.
    TargetError(Vec<WireFrame>, WireFrame),
    /// The entry failed the request; the connection stays open.
    Failed(ErrorReply),
    /// The entry failed the request and closes the connection.
    Closed(ErrorReply),
    /// The connection to the caller failed.
    CallerDisconnected(FrameError),
}

impl RequestEnd {
    /// Returns the end of a request that did not run, and counts the refusal.
    #[must_use]
    pub fn refused(reason: RefusalReason, retry_after: Option<RetryDelay>, message: &str) -> Self {
        metrics::counter!("mustardhinge_refusals_total", "reason" => reason.label()).increment(1);
        Self::Failed(ErrorReply::not_run(reason, retry_after, message))
    }

    /// Adjusts the end of a request that was sent to a target before.
    ///
    /// Such a request may have run, so a refusal becomes an unknown outcome.
    #[must_use]
    pub fn after_sending(self) -> Self {
        match self {
            Self::Failed(reply) if reply.is_not_run() => {
                Self::unknown("an earlier target did not answer, and no other can be asked")
            }
            other => other,
        }
    }

    /// Returns the end of a request whose outcome is unknown, and counts it.
    #[must_use]
    pub fn unknown(message: &str) -> Self {
        metrics::counter!("mustardhinge_unknown_outcomes_total").increment(1);
        Self::Failed(ErrorReply::unknown(message))
    }
}
