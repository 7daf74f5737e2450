use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What an agent knows of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetSummary {
    /// The target.
    #[schemars(with = "String")]
    pub target: TargetId,
    /// The availability zone it stands in.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// Its role in the last report: primary, replica or fenced.
    pub role: Option<String>,
    /// The position up to which its reads see the rows.
    #[schemars(with = "Option<String>")]
    pub applied: Option<LogPosition>,
    /// Whether it answered the last probe.
    pub answered: bool,
}
