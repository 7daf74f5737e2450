use mustardhinge_core::prelude::{InstanceId, ServiceId, TargetId};

/// A request to make a target the primary of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// Service of the group.
    pub service: ServiceId,
    /// The target to promote.
    pub target: TargetId,
    /// The instance that requests it as the leader.
    pub leader: InstanceId,
    /// Fencing token of its leadership.
    pub fence: u64,
}

/// Outcome of a request to promote a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The promotion is complete or in progress.
    Accepted,
    /// The target can't be promoted.
    Rejected(String),
    /// The request was not executed and never will be.
    NotExecuted(String),
    /// The outcome is unknown.
    Unknown(String),
}
