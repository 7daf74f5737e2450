use serde::{Deserialize, Serialize};

/// Why a forwarded statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunCause {
    /// Its turn can't come in time.
    Full {
        /// When to come back, in milliseconds.
        retry_ms: u32,
    },
    /// The target could not be reached, or failed before the statement was sent.
    TargetFailed,
    /// The target refused the connection.
    TargetRefused,
    /// The target has too many connections.
    TooManyConnections,
    /// The gateway knows of a later epoch, or was told to stop using the primary.
    EpochOver,
    /// The transaction is not open at the gateway any more.
    TransactionGone,
    /// The gateway doesn't know the target.
    TargetUnknown,
    /// The gateway is stopping.
    Leaving,
    /// It came too late: its time was over.
    Late,
    /// The gateway was not reached.
    Unreachable,
}
