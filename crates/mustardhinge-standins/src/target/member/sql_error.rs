/// The reason why a statement failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SqlError {
    /// The statement is not understood.
    #[error("the stand-in does not understand this statement")]
    Syntax,
    /// A parameter or argument is missing or malformed.
    #[error("parameter or argument {number} is malformed")]
    BadArgument {
        /// Its number, counted from 1.
        number: usize,
    },
    /// The prepared statement or portal does not exist.
    #[error("prepared statement or portal {name:?} does not exist")]
    UnknownName {
        /// Its name.
        name: String,
    },
    /// The server is not the primary.
    #[error("this server takes no writes: it is not the primary")]
    ReadOnly,
    /// The key is present already.
    #[error("duplicate key {key:?}")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// Waiting for a lock would never end.
    #[error("deadlock detected")]
    Deadlock,
    /// A statement of the transaction failed before.
    #[error("the transaction is aborted until its end")]
    TransactionFailed,
    /// The statement was cancelled.
    #[error("the statement was cancelled")]
    Cancelled,
    /// All connections are taken.
    #[error("too many connections")]
    TooManyConnections,
    /// The message is not supported.
    #[error("COPY is not supported")]
    Unsupported,
}

impl SqlError {
    /// Returns the SQLSTATE.
    #[must_use]
    pub const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Syntax => "42601",
            Self::BadArgument { .. } => "22023",
            Self::UnknownName { .. } => "26000",
            Self::ReadOnly => "25006",
            Self::DuplicateKey { .. } => "23505",
            Self::Deadlock => "40P01",
            Self::TransactionFailed => "25P02",
            Self::Cancelled => "57014",
            Self::TooManyConnections => "53300",
            Self::Unsupported => "0A000",
        }
    }
}
