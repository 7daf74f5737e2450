use std::io;

use pgwire::messages::response::ErrorResponse;

use crate::wire::FrameError;

const FIELD_CODE: u8 = b'C';
const FIELD_MESSAGE: u8 = b'M';

/// Error of a connection to a target, which must then be closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The target did not respond in time.
    #[error("the target did not answer in time")]
    TimedOut,
    /// The connection could not be established.
    #[error("the target can't be reached: {0}")]
    Unreachable(#[from] io::Error),
    /// The target refused the connection with an error.
    #[error("the target refused the connection: {code} {message}")]
    Refused {
        /// SQLSTATE of the error.
        code: String,
        /// Message of the error.
        message: String,
    },
    /// The connection failed or the target violated the protocol.
    #[error(transparent)]
    Broken(#[from] FrameError),
    /// The connection was released inside a transaction.
    #[error("the connection was left inside a transaction")]
    NotIdle,
}

impl ConnectionError {
    /// Creates an error from a target's ErrorResponse.
    #[must_use]
    pub fn refused(response: &ErrorResponse) -> Self {
        let field = |code| {
            let found = response.fields.iter().find(|field| field.0 == code);
            found.map(|field| field.1.clone()).unwrap_or_default()
        };
        Self::Refused {
            code: field(FIELD_CODE),
            message: field(FIELD_MESSAGE),
        }
    }
}
