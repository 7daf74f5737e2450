use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Work that a leaving target got after the bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingWork {
    /// The target.
    pub target: TargetId,
    /// The callers' statements that reached it after the bound.
    pub late_statements: u64,
}
