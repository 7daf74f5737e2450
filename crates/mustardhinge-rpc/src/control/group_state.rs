use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What an agent knows of a database group; a hint, the servers decide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// The group.
    pub group: GroupId,
    /// The greatest term seen.
    pub term: LeaderTerm,
    /// The primary of that term, once promoted.
    pub primary: Option<TargetId>,
    /// How long no new write may be sent to the group, in milliseconds from the
    /// answer, unless a greater term comes sooner; 0 if writes may be sent.
    #[serde(default)]
    pub writes_held_ms: u32,
}
