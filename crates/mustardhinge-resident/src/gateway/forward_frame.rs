use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::ZoneId;
use serde::{Deserialize, Serialize};

use super::{ForwardedOutcome, ForwardedStatement, GatewayLoad};

/// A message from an origin, the instance that forwards, to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFrame {
    /// A statement to run.
    Work(Box<ForwardedStatement>),
    /// The caller no longer waits for the response.
    Cancel {
        /// Number of the statement.
        number: u64,
    },
    /// The origin abandons a transaction.
    Release {
        /// Number of the statement that began it.
        pin: u64,
    },
    /// Requests a [`GatewayFrame::Pong`].
    Ping,
    /// A statement to run at a target in one of these home regions only.
    HomeWork {
        /// The regions.
        homes: HomeRegions,
        /// The statement.
        statement: Box<ForwardedStatement>,
    },
    /// Requests a [`GatewayFrame::Zone`].
    RequestZone,
}

/// A message from a gateway to an origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayFrame {
    /// The outcome of a statement.
    Answer {
        /// Number of the statement.
        number: u64,
        /// Load of the target at the gateway.
        load: GatewayLoad,
        /// Outcome of the statement.
        answer: ForwardedOutcome,
    },
    /// The response to [`OriginFrame::Ping`].
    Pong,
    /// The gateway is stopping. It completes pending statements and accepts no new ones.
    Leaving,
    /// The response to [`OriginFrame::RequestZone`]: the gateway's availability zone.
    Zone(ZoneId),
}
