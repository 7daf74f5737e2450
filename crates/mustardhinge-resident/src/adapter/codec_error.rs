use thiserror::Error;

/// A message that can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// It is larger than the protocol allows.
    #[error("message is larger than the protocol allows")]
    TooLarge,
    /// It makes no sense.
    #[error("message is malformed")]
    Malformed,
}
