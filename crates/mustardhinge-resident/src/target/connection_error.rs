use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::adapter::{CodecError, TargetFault};
use crate::gateway::NotRunCause;

/// Error of a connection to a target, or of forwarding through its gateway.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The connection was refused or broke.
    #[error("connection broken: {0}")]
    Broken(#[from] io::Error),
    /// The target closed the connection.
    #[error("connection closed")]
    Closed,
    /// The response timed out.
    #[error("response timed out")]
    Silent,
    /// The target rejected the session.
    #[error("session rejected by the target: {0:?}")]
    TurnedAway(TargetFault),
    /// The primary is being replaced, so its response is no longer valid.
    #[error("primary is being replaced")]
    EpochEnded,
    /// The target sent an invalid message.
    #[error(transparent)]
    Wire(#[from] CodecError),
    /// No slot is expected in time; contains the retry delay.
    #[error("no slot available in time; retry after {0:?}")]
    Full(Duration),
    /// The gateway disconnected or became unresponsive after the statement was sent to it.
    #[error("gateway disconnected or unresponsive")]
    GatewayLost,
    /// The gateway reported that the statement has not run.
    #[error("statement not run by the gateway: {0:?}")]
    GatewayRefused(NotRunCause),
    /// The target's zone is evacuated.
    #[error("zone of the target is evacuated")]
    Evacuated,
    /// The target's region, or that of the gateway, is not a home of the statement.
    #[error("target is outside the home regions of the statement")]
    OutsideHome,
    /// The target failed or was removed while the session was queued.
    #[error("target failed or was removed while the session was queued")]
    Dissolved,
}

impl ConnectionError {
    /// Returns whether the error is evidence of a failure of the target itself.
    #[must_use]
    pub const fn is_failure(&self) -> bool {
        !matches!(
            self,
            Self::Full(_)
                | Self::Dissolved
                | Self::Evacuated
                | Self::OutsideHome
                | Self::EpochEnded
                | Self::TurnedAway(_)
                | Self::GatewayLost
                | Self::GatewayRefused(_)
        )
    }

    /// Returns whether the address responded, but not as this target.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Broken(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            Self::TurnedAway(fault) => *fault == TargetFault::Misrouted,
            _ => false,
        }
    }
}
