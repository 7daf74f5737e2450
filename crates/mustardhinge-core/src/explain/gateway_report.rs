use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{GatewayState, TargetPath};
use crate::ids::TargetId;

/// The gateways of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The target.
    pub target: TargetId,
    /// The gateway that statements are forwarded to; `None` if every instance connects directly.
    pub first: Option<SocketAddr>,
    /// Its state.
    pub first_state: Option<GatewayState>,
    /// The gateway that is used while the first is unusable.
    pub second: Option<SocketAddr>,
    /// Its state.
    pub second_state: Option<GatewayState>,
    /// How the request would reach the target.
    pub path: TargetPath,
}
