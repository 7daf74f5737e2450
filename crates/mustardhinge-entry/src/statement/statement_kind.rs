/// How the entry treats a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementKind {
    /// Nothing but blanks and comments.
    Empty,
    /// Reads only; any target past the floor may run it.
    Read,
    /// May write; only the primary may run it.
    Write,
    /// Opens a transaction.
    Begin,
    /// Ends a transaction with its effects.
    Commit,
    /// Ends a transaction without its effects.
    Rollback,
    /// Changes nothing but the running transaction, such as a savepoint.
    InTransaction,
    /// Depends on one connection for the whole session, or is COPY.
    Unsupported,
}
