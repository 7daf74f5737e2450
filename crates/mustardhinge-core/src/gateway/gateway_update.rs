use serde::{Deserialize, Serialize};

use super::{GatewayPair, GatewayVersion};
use crate::ids::TargetId;

/// A full or incremental update of the gateway table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayUpdate {
    /// The version of the table after this update.
    pub version: GatewayVersion,
    /// Whether this is the full table, in which unlisted targets have no gateways. Otherwise
    /// unlisted targets keep their gateways.
    pub is_whole: bool,
    /// The gateways of each changed target; `None` where instances connect directly.
    pub changes: Vec<(TargetId, Option<GatewayPair>)>,
}
