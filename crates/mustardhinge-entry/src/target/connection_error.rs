use std::io;

use pgwire::messages::response::ErrorResponse;

use crate::wire::FrameError;

const FIELD_CODE: u8 = b'C';
const FIELD_MESSAGE: u8 = b'M';

/// Why a connection to a target can't be opened or used any more.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The target did not answer in time.
    #[error("the target did not answer in time")]
    Overdue,
    /// The target refuses connections.
    #[error("the target can't be reached: {0}")]
    Unreachable(#[from] io::Error),
    /// The target answered the opening with an error.
    #[error("the target refused the connection: {code} {message}")]
    Refused {
        /// The SQLSTATE.
        code: String,
        /// The message.
        message: String,
    },
    /// The connection broke.
    #[error(transparent)]
    Broken(#[from] FrameError),
    /// The connection was not left idle.
    #[error("the connection was left inside a transaction")]
    NotIdle,
}

impl ConnectionError {
    /// Takes over the error that a target answered.
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
