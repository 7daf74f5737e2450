use bytes::Bytes;
use mustardhinge_core::prelude::{CustomerId, LogPosition, ServiceId, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use serde::{Deserialize, Serialize};

/// A statement that a gateway runs at a target for another instance, which has checked the
/// caller's key, route and rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedStatement {
    /// Tells the answers on one connection apart; never used twice there.
    pub number: u64,
    /// When it was sent, in microseconds of the sender's clock.
    pub sent_at: u64,
    /// The time that the caller had waited by then, in microseconds.
    pub waited: u64,
    /// The time within which the caller should be answered, in milliseconds.
    pub objective_ms: u32,
    /// The longest time of the statement, in milliseconds.
    pub timeout_ms: u32,
    /// The service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The customer whose statement it is.
    pub customer: CustomerId,
    /// The caller's session at the sender.
    pub session: u64,
    /// Which of the session's values these are; grows with each change.
    pub generation: u64,
    /// The session's values: their names and the statements that set them.
    pub values: Vec<(Bytes, Bytes)>,
    /// The prepared statement that it runs.
    pub prepared: Option<PreparedStatement>,
    /// The caller's id of the request.
    pub id: Bytes,
    /// The text.
    pub text: Bytes,
    /// Whether it writes.
    pub writes: bool,
    /// The epoch under whose lease the sender uses the primary; none where a position is enough.
    pub epoch: Option<GroupEpoch>,
    /// What the target has to hold.
    pub floor: Option<LogPosition>,
    /// How old the rows may be, in milliseconds; none where only the position counts.
    pub age_ms: Option<u32>,
    /// What it is to a transaction.
    pub step: ForwardedStep,
}

/// A prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Its name.
    pub name: Bytes,
    /// Whether it writes.
    pub writes: bool,
    /// The statement that made it.
    pub text: Bytes,
}

/// What a statement is to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedStep {
    /// It stands alone.
    Single,
    /// It opens a transaction, which is known by its number from then on.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// It is a statement of a transaction.
    Within {
        /// The number of the statement that opened it.
        pin: u64,
    },
    /// It ends a transaction and keeps it.
    Commit {
        /// The number of the statement that opened it.
        pin: u64,
    },
    /// It ends a transaction and drops it.
    Rollback {
        /// The number of the statement that opened it.
        pin: u64,
    },
}

impl ForwardedStep {
    /// Returns the transaction that it belongs to, if that is open already.
    #[must_use]
    pub const fn pin(self) -> Option<u64> {
        match self {
            Self::Single | Self::Begin { .. } => None,
            Self::Within { pin } | Self::Commit { pin } | Self::Rollback { pin } => Some(pin),
        }
    }
}
