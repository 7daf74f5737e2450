use bytes::Bytes;
use mustardhinge_core::prelude::{CustomerId, LogPosition, RoutePriority, ServiceId, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use serde::{Deserialize, Serialize};

/// A statement that a gateway runs at a target on behalf of another instance, which has already
/// checked the caller's key, route and rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedStatement {
    /// Identifies the response; unique per connection.
    pub number: u64,
    /// Time of sending, in microseconds of the sender's clock.
    pub sent_at: u64,
    /// Time that the caller had waited before sending, in microseconds.
    pub waited: u64,
    /// Latency objective of the statement, in milliseconds.
    pub objective_ms: u32,
    /// Timeout of the statement, in milliseconds.
    pub timeout_ms: u32,
    /// The service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The customer that issued the statement.
    pub customer: CustomerId,
    /// The caller's session at the sender.
    pub session: u64,
    /// Generation of the session's values; increases with each change.
    pub generation: u64,
    /// The session's values, as names and the statements that set them.
    pub values: Vec<(Bytes, Bytes)>,
    /// The prepared statement that it executes.
    pub prepared: Option<PreparedStatement>,
    /// The request ID assigned by the caller.
    pub id: Bytes,
    /// Text of the statement.
    pub text: Bytes,
    /// Whether the statement writes.
    pub writes: bool,
    /// Epoch of the lease under which the sender uses the primary, or `None` if a log position is
    /// sufficient.
    pub epoch: Option<GroupEpoch>,
    /// Minimum log position that the target must have applied.
    pub floor: Option<LogPosition>,
    /// Maximum age of the rows, in milliseconds, or `None` if only the position matters.
    pub age_ms: Option<u32>,
    /// Role of the statement in a transaction.
    pub step: ForwardedStep,
    /// Priority of the statement's route.
    pub priority: RoutePriority,
}

/// A prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Name of the prepared statement.
    pub name: Bytes,
    /// Whether the prepared statement writes.
    pub writes: bool,
    /// Text of the statement that prepares it.
    pub text: Bytes,
}

/// Role of a forwarded statement in a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedStep {
    /// A statement outside a transaction.
    Single,
    /// Begins a transaction, which is then identified by the number of this statement.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// A statement within a transaction.
    Within {
        /// Number of the statement that began the transaction.
        pin: u64,
    },
    /// Commits a transaction.
    Commit {
        /// Number of the statement that began the transaction.
        pin: u64,
    },
    /// Rolls a transaction back.
    Rollback {
        /// Number of the statement that began the transaction.
        pin: u64,
    },
}

impl ForwardedStep {
    /// Returns the number of the open transaction that the statement belongs to, if any.
    #[must_use]
    pub const fn pin(self) -> Option<u64> {
        match self {
            Self::Single | Self::Begin { .. } => None,
            Self::Within { pin } | Self::Commit { pin } | Self::Rollback { pin } => Some(pin),
        }
    }
}
