use serde::{Deserialize, Serialize};

use super::{GatewayPair, GatewayVersion};
use crate::ids::TargetId;

/// What has changed in the table of gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayUpdate {
    /// The table that these changes lead to.
    pub version: GatewayVersion,
    /// Whether targets that are not named have no gateways; else they keep those they had.
    pub is_whole: bool,
    /// The gateways of each changed target; none where instances connect themselves.
    pub changes: Vec<(TargetId, Option<GatewayPair>)>,
}
