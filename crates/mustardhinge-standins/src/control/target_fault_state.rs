use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::fault::LinkFaults;
use crate::target::TargetFaults;

/// All faults of a target; what is left out is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaultState {
    /// The faults of the network in front of it.
    pub link: LinkFaults,
    /// The faults of the target itself.
    pub target: TargetFaults,
}
