use std::fmt;

use serde::{Deserialize, Serialize};

/// Result of the check of the customer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RateState {
    /// The customer shared by all callers without a key has no rate.
    Unlimited,
    /// The allowance granted by the leader admits the request.
    Granted,
    /// The instance's own share of the rate admits the request, without a leader.
    Isolated,
    /// The allowance is exhausted, and the leader is asked for more.
    RequestMore,
    /// No leader has responded to this process yet.
    AwaitFirstGrant,
    /// The customer's rate is exhausted.
    Exhausted,
}

impl fmt::Display for RateState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Unlimited => "unlimited",
            Self::Granted => "granted",
            Self::Isolated => "isolated",
            Self::RequestMore => "request_more",
            Self::AwaitFirstGrant => "await_first_grant",
            Self::Exhausted => "exhausted",
        })
    }
}
