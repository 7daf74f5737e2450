use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The value of a claim object: who begins which term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The term.
    pub(super) term: LeaderTerm,
    /// The claimant's name, as the servers know it.
    pub(super) claimant: String,
}
