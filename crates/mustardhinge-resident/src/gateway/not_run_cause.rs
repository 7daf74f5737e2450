use serde::{Deserialize, Serialize};

/// Reason why a forwarded statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunCause {
    /// No slot is expected in time.
    Full {
        /// Retry delay, in milliseconds.
        retry_ms: u32,
    },
    /// The target was unreachable, or failed before the statement was sent.
    TargetFailed,
    /// The target refused the connection.
    TargetRefused,
    /// The target has too many connections.
    TooManyConnections,
    /// The gateway knows of a later epoch, or was ordered to stop using the primary.
    EpochOver,
    /// The transaction is no longer open at the gateway.
    TransactionGone,
    /// The gateway doesn't know the target.
    TargetUnknown,
    /// The gateway is stopping.
    Leaving,
    /// The statement arrived after its deadline, or was cancelled before it ran.
    Late,
    /// The gateway was unreachable.
    Unreachable,
    /// The target's zone is evacuated.
    Evacuated,
    /// The target's region is not a home of the statement.
    OutsideHome,
}
