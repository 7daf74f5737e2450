use mustardhinge_core::prelude::{InstanceId, ServiceId, TargetId};

/// An order to make a target the primary of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// The service whose group it is.
    pub service: ServiceId,
    /// The target that takes over.
    pub target: TargetId,
    /// The instance that gives the order.
    pub leader: InstanceId,
    /// The fence of its duty.
    pub fence: u64,
}

/// What the platform said to an order to promote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// It is done or under way.
    Accepted,
    /// The target can't take over.
    Rejected(String),
    /// It may have been done or not.
    Unknown(String),
}
