use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The value of a claim object in the store: the agent process that starts a
/// term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The term.
    pub(super) term: LeaderTerm,
    /// Name of the claimant that database servers receive in fence and promote
    /// calls.
    pub(super) claimant: String,
}
