use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The result of a completed switchover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SwitchoverResult {
    /// The group.
    #[schemars(with = "String")]
    pub group: GroupId,
    /// The term of the new primary.
    #[schemars(with = "u64")]
    pub term: LeaderTerm,
    /// The new primary.
    #[schemars(with = "String")]
    pub primary: TargetId,
    /// The time from the call to the promotion, in milliseconds.
    pub took_ms: u32,
}
