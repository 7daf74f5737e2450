use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The value of a group object: the published primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PrimaryRecord {
    /// The term.
    pub(crate) term: LeaderTerm,
    /// The primary of the term.
    pub(crate) primary: TargetId,
    /// The claimant who published it.
    pub(crate) claimant: String,
}
