use mustardhinge_core::prelude::LeaderTerm;
use serde::{Deserialize, Serialize};

/// A run of log entries of one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRun {
    /// The term.
    pub term: LeaderTerm,
    /// The offset of the last entry of the run.
    pub last_offset: u64,
}
