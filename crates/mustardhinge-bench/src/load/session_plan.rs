use mustardhinge_core::prelude::*;

use super::PlannedOperation;

/// What one session sends during a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionPlan {
    /// The service.
    pub service: ServiceId,
    /// The customer; none for callers without a key.
    pub customer: Option<CustomerId>,
    /// The customer's key; empty for callers without one.
    pub key: String,
    /// The session.
    pub session: SessionId,
    /// Whether the session shows its read token when it moves.
    pub has_token: bool,
    /// The instance that it begins at, as an index.
    pub first_instance: usize,
    /// Its operations, by due time.
    pub operations: Vec<PlannedOperation>,
}
