use crate::outcome::{RefusalReason, RetryDelay, StatementOutcome};
use crate::units::MonotonicTime;

use super::SentRequest;

/// A request of which no byte has gone to a target.
///
/// Only in this state can a request be refused. Sending consumes it:
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
#[must_use = "a request ends by being refused or sent"]
pub struct UnsentRequest(());

impl UnsentRequest {
    /// Makes a request that has just arrived.
    pub const fn new() -> Self {
        Self(())
    }

    /// Ends the request: it has not run and will not.
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

    /// Marks the request as sent; to be called before the first byte is handed
    /// to the connection.
    pub fn send(self, now: MonotonicTime) -> SentRequest {
        SentRequest::new(now)
    }
}
