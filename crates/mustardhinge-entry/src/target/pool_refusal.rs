use mustardhinge_core::prelude::*;

use super::ConnectionError;

/// Error when no connection could be acquired. Nothing has been sent to the target.
#[derive(Debug, thiserror::Error)]
pub enum PoolRefusal {
    /// The queue refused the request.
    #[error("refused in the queue: {reason}")]
    Queue {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: RetryDelay,
    },
    /// No connection could be opened.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}
