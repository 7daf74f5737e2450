use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::fault::LinkFaults;
use crate::platform::PlatformFaults;

/// All faults of a platform; what is left out is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaultState {
    /// The faults of the network in front of it.
    pub link: LinkFaults,
    /// The faults of the platform itself.
    pub platform: PlatformFaults,
    /// How long changes of the list of instances stay unseen, in milliseconds;
    /// unchanged where left out.
    pub instance_lag_ms: Option<u32>,
}
