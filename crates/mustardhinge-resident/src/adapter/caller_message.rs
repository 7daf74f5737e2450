use bytes::Bytes;

use super::CallerStatement;

/// One message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// The database that the caller wants.
        database: Bytes,
        /// The customer's key, if one was shown.
        key: Option<Bytes>,
    },
    /// A statement.
    Statement {
        /// The caller's id of the request; goes to the target unchanged.
        id: Bytes,
        /// The text; goes to the target unchanged.
        text: Bytes,
        /// What the text says.
        statement: CallerStatement,
    },
    /// Ends the session.
    Bye,
}
