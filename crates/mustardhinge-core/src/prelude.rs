//! Re-exports of the identifiers, outcomes and units that most modules use.

pub use crate::ids::{
    CustomerId, GroupId, InstanceId, OperationId, RegionName, RequestId, RouteName, ServiceId,
    SessionId, TargetId, ZoneId,
};
pub use crate::outcome::{RefusalReason, RetryDelay, StatementOutcome};
pub use crate::units::{
    DocumentVersion, LeaderTerm, LogPosition, MonotonicTime, RequestBurst, RequestRate,
    RoutePriority,
};
