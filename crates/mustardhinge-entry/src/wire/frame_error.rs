use std::io;

use pgwire::error::PgWireError;

/// Error of reading or writing frames; the connection is unusable afterwards.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is longer than the limit.
    #[error("a frame of {length} bytes is over the limit of {limit} bytes")]
    TooLong {
        /// Length stated in the frame header, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A frame violates the protocol.
    #[error("the protocol was broken: {0}")]
    Malformed(String),
}

impl From<PgWireError> for FrameError {
    fn from(error: PgWireError) -> Self {
        Self::Malformed(error.to_string())
    }
}
