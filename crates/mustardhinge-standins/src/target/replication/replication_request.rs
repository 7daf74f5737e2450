use mustardhinge_core::prelude::LeaderTerm;
use serde::{Deserialize, Serialize};

use crate::target::storage::TermRun;

/// A replica's request for the log of a primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReplicationRequest {
    /// The term of the primary.
    pub(super) term: LeaderTerm,
    /// The log that the replica holds.
    pub(super) runs: Vec<TermRun>,
}
