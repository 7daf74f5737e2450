use mustardhinge_core::prelude::*;

use super::ConnectionError;

/// Why no connection was lent; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum PoolRefusal {
    /// The queue refused the request.
    #[error("refused in the queue: {reason}")]
    Queue {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: RetryDelay,
    },
    /// No connection could be opened.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}
