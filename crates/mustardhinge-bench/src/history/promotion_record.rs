use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// A server that became the primary of its group.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionRecord {
    /// The service that the group serves.
    pub service: ServiceId,
    /// The server.
    pub target: TargetId,
    /// Its term.
    pub term: LeaderTerm,
    /// When it opened its term.
    #[serde_as(as = "TimeMicros")]
    pub at: MonotonicTime,
}
