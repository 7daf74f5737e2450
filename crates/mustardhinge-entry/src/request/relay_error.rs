use crate::target::ConnectionError;
use crate::wire::FrameError;

/// Why an answer could not be passed on whole.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The target's side failed; the connection must be closed.
    #[error("the target's answer broke off: {0}")]
    Target(ConnectionError),
    /// The caller's side failed; the caller is gone.
    #[error("the caller is gone: {0}")]
    Caller(FrameError),
    /// The answer that has to be held is larger than the limit.
    #[error("the answer of a write is larger than {limit} bytes")]
    TooMuchHeld {
        /// The limit, in bytes.
        limit: usize,
    },
}
