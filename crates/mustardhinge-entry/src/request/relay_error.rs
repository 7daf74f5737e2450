use crate::target::ConnectionError;
use crate::wire::FrameError;

/// Error that interrupted the relay of a response.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The target connection failed and must be closed.
    #[error("the target's answer broke off: {0}")]
    Target(ConnectionError),
    /// The connection to the caller failed.
    #[error("the connection to the caller failed: {0}")]
    Caller(FrameError),
    /// The frames to hold back exceed the limit.
    #[error("the answer of a write is larger than {limit} bytes")]
    HeldLimitExceeded {
        /// The limit, in bytes.
        limit: usize,
    },
}
