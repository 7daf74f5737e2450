use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::TargetFaultState;

/// The state of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetState {
    /// Its report, in the order of the columns of `group_report()`.
    pub report: Vec<String>,
    /// Connections that it accepted so far.
    pub accepted_connections: u64,
    /// Connections that count against its limit now.
    pub open_connections: usize,
    /// Its faults.
    pub faults: TargetFaultState,
}
