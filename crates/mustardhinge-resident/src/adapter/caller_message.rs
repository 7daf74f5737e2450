use bytes::Bytes;

use super::CallerStatement;

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// The requested database.
        database: Bytes,
        /// The customer's key, if the caller sent one.
        key: Option<Bytes>,
    },
    /// A statement.
    Statement {
        /// The caller's id of the request. Forwarded to the target unchanged.
        id: Bytes,
        /// The text. Forwarded to the target unchanged.
        text: Bytes,
        /// Parsed kind of the text.
        statement: CallerStatement,
    },
    /// Ends the session.
    Bye,
}
