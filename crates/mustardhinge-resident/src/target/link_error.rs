use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::adapter::{CodecError, TargetFault};
use crate::gateway::NotRunCause;

/// Why a connection to a target could not be used.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The address refused the connection or broke it off.
    #[error("connection broken: {0}")]
    Broken(#[from] io::Error),
    /// The target closed the connection.
    #[error("connection closed")]
    Closed,
    /// No answer came in time.
    #[error("no answer in time")]
    Silent,
    /// The target turned the session away.
    #[error("session turned away: {0:?}")]
    TurnedAway(TargetFault),
    /// The primary is being replaced: its answer counts no more.
    #[error("primary is being replaced")]
    EpochEnded,
    /// The target's message made no sense.
    #[error(transparent)]
    Wire(#[from] CodecError),
    /// The session's turn can't come in time.
    #[error("no turn in time, come back after {0:?}")]
    Full(Duration),
    /// The gateway was lost or silent after the statement was sent to it.
    #[error("gateway lost")]
    GatewayLost,
    /// The gateway says that the statement has not run.
    #[error("not run by the gateway: {0:?}")]
    GatewayRefused(NotRunCause),
    /// The target failed or left while the session waited for its turn.
    #[error("target failed or left")]
    Dissolved,
}

impl LinkError {
    /// Returns whether it speaks against the target itself.
    #[must_use]
    pub const fn is_failure(&self) -> bool {
        !matches!(
            self,
            Self::Full(_)
                | Self::Dissolved
                | Self::EpochEnded
                | Self::TurnedAway(_)
                | Self::GatewayLost
                | Self::GatewayRefused(_)
        )
    }

    /// Returns whether the address answered, but not with the target.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Broken(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            Self::TurnedAway(fault) => *fault == TargetFault::Misrouted,
            _ => false,
        }
    }
}
