use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// State of a database group as known to an agent; a hint, as the database servers
/// are authoritative.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// The group.
    pub group: GroupId,
    /// The highest term observed.
    pub term: LeaderTerm,
    /// The primary of that term, once promoted.
    pub primary: Option<TargetId>,
    /// How long no new write may be sent to the group, in milliseconds from the
    /// response, unless a higher term is observed sooner; 0 if writes may be sent.
    #[serde(default)]
    pub writes_held_ms: u32,
}
