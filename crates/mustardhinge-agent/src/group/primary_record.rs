use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The value of a group object in the store: the published primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PrimaryRecord {
    /// The term.
    pub(crate) term: LeaderTerm,
    /// The primary of the term.
    pub(crate) primary: TargetId,
    /// The agent process that published it.
    pub(crate) claimant: String,
}
