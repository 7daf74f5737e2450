use std::time::Duration;

use crate::outcome::{RetryDelay, StatementOutcome};
use crate::units::MonotonicTime;

use super::{NotRunProof, UnsentRequest};

/// A request of which a target may have received bytes.
///
/// Such a request can be refused only with a target's proof:
///
/// ```compile_fail
/// use mustardhinge_core::prelude::*;
/// use mustardhinge_core::request::UnsentRequest;
///
/// let sent = UnsentRequest::new().send(MonotonicTime::default());
/// sent.refuse(RefusalReason::NoTarget, None);
/// ```
#[derive(Debug)]
#[must_use = "a sent request must be completed, refused with a proof, or abandoned"]
pub struct SentRequest {
    sent_at: MonotonicTime,
}

impl SentRequest {
    pub(super) const fn new(sent_at: MonotonicTime) -> Self {
        Self { sent_at }
    }

    /// Returns the time at which the request was sent.
    #[must_use]
    pub const fn sent_at(&self) -> MonotonicTime {
        self.sent_at
    }

    /// Returns the time since the request was sent.
    #[must_use]
    pub fn elapsed(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.sent_at)
    }

    /// Completes the request: its response arrived, and its write, if any, is
    /// acknowledged.
    #[must_use]
    pub fn complete(self) -> StatementOutcome {
        StatementOutcome::Completed
    }

    /// Ends the request with an unknown outcome: its response was lost, or its write is
    /// not acknowledged.
    #[must_use]
    pub fn abandon(self) -> StatementOutcome {
        StatementOutcome::Unknown
    }

    /// Refuses the request, since the target proved that it did not run.
    #[must_use]
    pub fn refuse(self, proof: NotRunProof, retry_after: Option<RetryDelay>) -> StatementOutcome {
        StatementOutcome::NotRun {
            reason: proof.reason(),
            retry_after,
        }
    }

    /// Converts the request back to unsent, since the target proved that it did not run.
    ///
    /// The request may then be sent again.
    pub fn into_unsent(self, _proof: NotRunProof) -> UnsentRequest {
        UnsentRequest::new()
    }
}
