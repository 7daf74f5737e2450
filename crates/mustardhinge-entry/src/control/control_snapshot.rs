use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::{ServiceRuntime, WriteHold};

/// Immutable snapshot of the control state. A new snapshot replaces it.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Request time of the newest proof that the documents are current.
    pub proven_at: Option<MonotonicTime>,
    /// Whether the agent is draining this instance.
    pub is_draining: bool,
    /// Write holds of the groups before a planned switchover.
    pub holds: BTreeMap<GroupId, WriteHold>,
    /// Services, by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceRuntime>>,
}

impl ControlSnapshot {
    /// Returns how long a new write to the primary of `term` must wait.
    #[must_use]
    pub fn write_hold(&self, group: &GroupId, term: LeaderTerm, now: MonotonicTime) -> Duration {
        let hold = self.holds.get(group).filter(|hold| hold.term >= term);
        hold.map_or(Duration::ZERO, |hold| hold.until.saturating_since(now))
    }

    /// Returns whether the keys are proven to be valid by a proof younger than
    /// `max_age`.
    #[must_use]
    pub fn is_proven(&self, max_age: Duration, now: MonotonicTime) -> bool {
        self.proven_at
            .is_some_and(|at| now.saturating_since(at) < max_age)
    }
}
