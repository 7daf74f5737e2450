use crate::outcome::{RefusalReason, RetryDelay, StatementOutcome};
use crate::units::MonotonicTime;

use super::SentRequest;

/// A request of which no byte has been sent to a target.
///
/// Only an unsent request can be refused without a proof. Sending consumes it:
///
/// ```compile_fail
/// use mustardhinge_core::prelude::*;
/// use mustardhinge_core::request::UnsentRequest;
///
/// let unsent = UnsentRequest::new();
/// let sent = unsent.send(MonotonicTime::default());
/// unsent.refuse(RefusalReason::NoTarget, None);
/// ```
#[derive(Debug, Default)]
#[must_use = "an unsent request must be refused or sent"]
pub struct UnsentRequest(());

impl UnsentRequest {
    /// Creates a request that has just arrived.
    pub const fn new() -> Self {
        Self(())
    }

    /// Refuses the request: it did not run and never will.
    #[must_use]
    pub fn refuse(
        self,
        reason: RefusalReason,
        retry_after: Option<RetryDelay>,
    ) -> StatementOutcome {
        StatementOutcome::NotRun {
            reason,
            retry_after,
        }
    }

    /// Marks the request as sent.
    ///
    /// Must be called before the first byte is written to the connection.
    pub fn send(self, now: MonotonicTime) -> SentRequest {
        SentRequest::new(now)
    }
}
