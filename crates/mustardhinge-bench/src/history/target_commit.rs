use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// A transaction that wrote and was committed at a target.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCommit {
    /// The service that the target's group serves.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The position of the commit.
    pub position: LogPosition,
    /// When it was committed, if the target tells.
    #[serde_as(as = "Option<TimeMicros>")]
    pub at: Option<MonotonicTime>,
    /// The rows written, as key and value.
    pub rows: Vec<(String, String)>,
    /// Whether the commit is in the log of the group's last primary.
    pub survives: bool,
}
