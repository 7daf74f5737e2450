use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::TargetSummary;

/// State of a database group as known to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GroupSummary {
    /// The group.
    #[schemars(with = "String")]
    pub group: GroupId,
    /// The highest term observed.
    #[schemars(with = "u64")]
    pub term: LeaderTerm,
    /// The primary of that term, once promoted.
    #[schemars(with = "Option<String>")]
    pub primary: Option<TargetId>,
    /// Whether this agent watches the group.
    pub watched: bool,
    /// The targets, if the group is watched.
    pub targets: Vec<TargetSummary>,
}
