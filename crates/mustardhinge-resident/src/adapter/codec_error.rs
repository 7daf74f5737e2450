use thiserror::Error;

/// A message that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The message is larger than the protocol allows.
    #[error("message is larger than the protocol allows")]
    TooLarge,
    /// The message is malformed.
    #[error("message is malformed")]
    Malformed,
}
