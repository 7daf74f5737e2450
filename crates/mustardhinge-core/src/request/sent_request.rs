use std::time::Duration;

use crate::outcome::{RetryDelay, StatementOutcome};
use crate::units::MonotonicTime;

use super::{NotRunProof, UnsentRequest};

/// A request of which a target may have got bytes.
///
/// It has no way to a refusal but a target's proof:
///
/// ```compile_fail
/// use mustardhinge_core::prelude::*;
/// use mustardhinge_core::request::UnsentRequest;
///
/// let sent = UnsentRequest::new().send(MonotonicTime::default());
/// sent.refuse(RefusalReason::NoTarget, None);
/// ```
#[derive(Debug)]
#[must_use = "a request ends by its answer, a proof, or as unknown"]
pub struct SentRequest {
    sent_at: MonotonicTime,
}

impl SentRequest {
    pub(super) const fn new(sent_at: MonotonicTime) -> Self {
        Self { sent_at }
    }

    /// Returns when the request was sent.
    #[must_use]
    pub const fn sent_at(&self) -> MonotonicTime {
        self.sent_at
    }

    /// Returns how long the request has been under way.
    #[must_use]
    pub fn elapsed(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.sent_at)
    }

    /// Ends the request: its answer came, and its write, if any, is
    /// acknowledged.
    #[must_use]
    pub fn complete(self) -> StatementOutcome {
        StatementOutcome::Completed
    }

    /// Ends the request: its answer did not come, or its write is not
    /// acknowledged.
    #[must_use]
    pub fn abandon(self) -> StatementOutcome {
        StatementOutcome::Unknown
    }

    /// Ends the request: the target has proved that it did not run.
    #[must_use]
    pub fn refuse(self, proof: NotRunProof, retry_after: Option<RetryDelay>) -> StatementOutcome {
        StatementOutcome::NotRun {
            reason: proof.reason(),
            retry_after,
        }
    }

    /// Takes the request back, as the target has proved that it did not run;
    /// it may be sent again.
    pub fn into_unsent(self, _proof: NotRunProof) -> UnsentRequest {
        UnsentRequest::new()
    }
}
