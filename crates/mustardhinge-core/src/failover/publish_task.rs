use crate::ids::TargetId;
use crate::units::{LeaderTerm, MonotonicTime};

use super::{FailoverAction, FailoverSettings};

/// The publication of a new primary, repeated until it succeeds.
#[derive(Clone, Debug)]
pub(super) struct PublishTask {
    pub(super) term: LeaderTerm,
    primary: TargetId,
    next_at: MonotonicTime,
}

impl PublishTask {
    /// Creates a publication that is first due at `first_at`.
    pub(super) fn new(term: LeaderTerm, primary: TargetId, first_at: MonotonicTime) -> Self {
        Self {
            term,
            primary,
            next_at: first_at,
        }
    }

    /// Returns the publish call if it is due.
    pub(super) fn due(
        &mut self,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<FailoverAction> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + settings.get_publish_interval();
        Some(FailoverAction::Publish {
            term: self.term,
            primary: self.primary.clone(),
        })
    }
}
