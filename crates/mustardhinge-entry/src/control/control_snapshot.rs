use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::{ServiceRuntime, WriteHold};

/// The control state at one moment; replaced as a whole, never changed.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// When the newest proof that the documents are current was asked for.
    pub proven_at: Option<MonotonicTime>,
    /// Whether the agent says that this instance is leaving.
    pub is_draining: bool,
    /// The groups whose writes are held before a planned change of primary.
    pub holds: BTreeMap<GroupId, WriteHold>,
    /// The services.
    pub services: BTreeMap<ServiceId, Arc<ServiceRuntime>>,
}

impl ControlSnapshot {
    /// Returns how long a new write to the primary of `term` has to wait.
    #[must_use]
    pub fn write_hold(&self, group: &GroupId, term: LeaderTerm, now: MonotonicTime) -> Duration {
        let hold = self.holds.get(group).filter(|hold| hold.term >= term);
        hold.map_or(Duration::ZERO, |hold| hold.until.saturating_since(now))
    }

    /// Tells whether keys are proven to stand: there is proof younger than
    /// `bound`.
    #[must_use]
    pub fn is_proven(&self, bound: Duration, now: MonotonicTime) -> bool {
        self.proven_at
            .is_some_and(|at| now.saturating_since(at) < bound)
    }
}
