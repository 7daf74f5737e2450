use serde::{Deserialize, Serialize};

use super::WaitSource;
use crate::ids::TargetId;

/// The expected wait at a target, by priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The target.
    pub target: TargetId,
    /// Origin of the waits.
    pub source: WaitSource,
    /// Age of the waits; reports older than 250 ms refuse nothing.
    pub age_ms: Option<u64>,
    /// Expected wait of an arrival with priority 0, 1 and 2.
    pub waits_ms: Option<[u64; 3]>,
}
