use serde::{Deserialize, Serialize};

/// The actions that a decision took on one input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplayStep {
    /// The time of the input, in microseconds since the start of the trace.
    pub at_us: u64,
    /// The actions, in order.
    pub actions: Vec<String>,
}
