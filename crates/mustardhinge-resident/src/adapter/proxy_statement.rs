use bytes::Bytes;
use mustardhinge_core::prelude::{LeaderTerm, LogPosition};

/// A statement that the proxy itself sends to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProxyStatement {
    /// Drops session values and prepared names.
    Reset,
    /// A statement of the session, repeated as the caller wrote it.
    Replay(Bytes),
    /// Drops one prepared name.
    Forget(Bytes),
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// What the target has to hold.
        floor: Option<LogPosition>,
    },
    /// Drops the transaction.
    Rollback,
    /// Asks for the target's role and position.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote(LeaderTerm),
}
