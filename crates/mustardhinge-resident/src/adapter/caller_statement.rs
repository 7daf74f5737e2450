use bytes::Bytes;

/// What a statement of a caller is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends the transaction and keeps it.
    Commit,
    /// Ends the transaction and drops it.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a value of the session.
    SetValue {
        /// The value's name.
        name: Bytes,
    },
    /// Gives a statement a name.
    Prepare {
        /// The name.
        name: Bytes,
        /// Whether the statement writes.
        writes: bool,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name.
        name: Bytes,
    },
    /// Drops a prepared name.
    Forget {
        /// The name.
        name: Bytes,
    },
    /// None of these.
    Unknown,
}
