use bytes::Bytes;

/// Kind of a caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Sets a session value.
    SetValue {
        /// Name of the value.
        name: Bytes,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// The name.
        name: Bytes,
        /// Whether the statement writes.
        writes: bool,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name.
        name: Bytes,
    },
    /// Discards a prepared statement.
    Forget {
        /// The name.
        name: Bytes,
    },
    /// Any other statement.
    Unknown,
}

impl CallerStatement {
    /// Returns whether the statement changes values or prepared statements of the session.
    #[must_use]
    pub const fn changes_session(&self) -> bool {
        matches!(
            self,
            Self::SetValue { .. } | Self::Prepare { .. } | Self::Forget { .. }
        )
    }
}
