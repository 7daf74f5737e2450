use crate::ids::TargetId;
use crate::outcome::{RefusalReason, RetryDelay};
use crate::units::{LogPosition, MonotonicTime};

/// The routing decision for a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// Read from a replica now.
    Replica {
        /// The replica.
        target: TargetId,
        /// A second replica for a hedged request if the first is slow.
        hedge: Option<TargetId>,
    },
    /// Read from the primary now.
    Primary(TargetId),
    /// Wait until the target has applied the floor, but no longer than `until`,
    /// then route again.
    WaitFor {
        /// The target.
        target: TargetId,
        /// The position to wait for.
        floor: LogPosition,
        /// The time at which the wait ends.
        until: MonotonicTime,
    },
    /// Join a floor round and route again with its floor.
    NeedsFloor,
    /// Refuse the read; it has not run.
    Refuse {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// When the caller should retry.
        retry_after: RetryDelay,
    },
}
