/// Kind of a statement, which decides how the entry routes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementKind {
    /// Contains only whitespace and comments.
    Empty,
    /// Only reads; any target that has applied the read floor may run it.
    Read,
    /// May write; only the primary may run it.
    Write,
    /// Opens a transaction.
    Begin,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Affects only the open transaction, for example a savepoint.
    InTransaction,
    /// Requires one connection for the whole session, or is COPY.
    Unsupported,
}
