use std::time::Duration;

use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{OperationKind, OperationResult, TimeMicros};

/// One operation of a caller, from its due time to its answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The number of the operation within the run.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// The customer whose key the caller showed; none on open routes.
    pub customer: Option<CustomerId>,
    /// The session.
    pub session: SessionId,
    /// The instance that took the operation.
    pub instance: InstanceId,
    /// The request id, if the operation carried one.
    pub request: Option<RequestId>,
    /// What was asked.
    pub kind: OperationKind,
    /// When the operation was due by the plan of the load.
    #[serde_as(as = "TimeMicros")]
    pub due: MonotonicTime,
    /// When it was sent.
    #[serde_as(as = "TimeMicros")]
    pub started: MonotonicTime,
    /// When its answer was there.
    #[serde_as(as = "TimeMicros")]
    pub ended: MonotonicTime,
    /// What the answer said.
    pub result: OperationResult,
}

impl OperationRecord {
    /// Returns the time from when the operation was due to its answer.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_since(self.due)
    }
}
