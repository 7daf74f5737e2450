use crate::ids::TargetId;
use crate::outcome::{RefusalReason, RetryDelay};
use crate::units::{LogPosition, MonotonicTime};

/// Where a read goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// Read at a replica now.
    Replica {
        /// The replica.
        target: TargetId,
        /// Another one to ask if the first is slow.
        hedge: Option<TargetId>,
    },
    /// Read at the primary now.
    Primary(TargetId),
    /// Wait until the target has applied the floor, then route again; route
    /// again at `until` at the latest.
    WaitFor {
        /// The target.
        target: TargetId,
        /// The position to wait for.
        floor: LogPosition,
        /// When to stop waiting.
        until: MonotonicTime,
    },
    /// Join a floor round and route again with its floor.
    NeedsFloor,
    /// Refuse the read, which has not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: RetryDelay,
    },
}
