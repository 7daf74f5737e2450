use bytes::Bytes;
use mustardhinge_core::prelude::{LeaderTerm, LogPosition};

/// A statement that the proxy sends to a target on its own behalf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProxyStatement {
    /// Discards the session's values and prepared statements.
    Reset,
    /// Repeats a statement of the session, with the caller's text.
    Replay(Bytes),
    /// Discards one prepared statement.
    Forget(Bytes),
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// The log position that the target must have applied.
        floor: Option<LogPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Requests the role, term and log position of the target.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote(LeaderTerm),
}
