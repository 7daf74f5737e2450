use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of a target as known to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetSummary {
    /// The target.
    #[schemars(with = "String")]
    pub target: TargetId,
    /// The availability zone of the target.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// The role in the last report: primary, replica or fenced.
    pub role: Option<String>,
    /// The log position up to which changes are visible to reads of the target.
    #[schemars(with = "Option<String>")]
    pub applied: Option<LogPosition>,
    /// Whether the target responded to the last probe.
    pub answered: bool,
}
