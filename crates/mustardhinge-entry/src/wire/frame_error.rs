use std::io;

use pgwire::error::PgWireError;

/// Why frames can't be read from or written to a connection any more.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The other side closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is longer than the limit.
    #[error("a frame of {length} bytes is over the limit of {limit} bytes")]
    TooLong {
        /// The length that the frame states, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A frame breaks the protocol.
    #[error("the protocol was broken: {0}")]
    Malformed(String),
}

impl From<PgWireError> for FrameError {
    fn from(error: PgWireError) -> Self {
        Self::Malformed(error.to_string())
    }
}
