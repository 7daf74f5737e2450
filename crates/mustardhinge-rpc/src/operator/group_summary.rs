use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::TargetSummary;

/// What an agent knows of a database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GroupSummary {
    /// The group.
    #[schemars(with = "String")]
    pub group: GroupId,
    /// The greatest term seen.
    #[schemars(with = "u64")]
    pub term: LeaderTerm,
    /// The primary of that term, once promoted.
    #[schemars(with = "Option<String>")]
    pub primary: Option<TargetId>,
    /// Whether this agent is one of those that watch the group.
    pub watched: bool,
    /// The targets, if the group is watched.
    pub targets: Vec<TargetSummary>,
}
