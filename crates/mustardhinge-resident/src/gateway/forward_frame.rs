use serde::{Deserialize, Serialize};

use super::{ForwardedOutcome, ForwardedStatement, GatewayLoad};

/// A message of an instance that forwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFrame {
    /// A statement to run.
    Work(Box<ForwardedStatement>),
    /// Nobody waits for the answer any more.
    Cancel {
        /// The number of the statement.
        number: u64,
    },
    /// A transaction is given up.
    Release {
        /// The number of the statement that began it.
        pin: u64,
    },
    /// Asks for a sign of life.
    Ping,
}

/// A message of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayFrame {
    /// How a statement ended.
    Answer {
        /// The number of the statement.
        number: u64,
        /// How busy the target is.
        load: GatewayLoad,
        /// How it ended.
        answer: ForwardedOutcome,
    },
    /// A sign of life.
    Pong,
    /// The gateway is stopping: it finishes what it has and takes nothing new.
    Leaving,
}
