use schemars::JsonSchema;
use serde::Serialize;

use super::PlatformFaultState;
use crate::platform::CallCounts;

/// The state of a platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, JsonSchema)]
pub struct PlatformState {
    /// The calls so far.
    pub calls: CallCounts,
    /// Its faults.
    pub faults: PlatformFaultState,
}
