use std::time::Duration;

use crate::units::{LeaderTerm, MonotonicTime};

use super::FailoverCause;

/// When each step of a failover ended, to split the failover gap into steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverTimeline {
    /// The new term.
    pub term: LeaderTerm,
    /// The reason for starting the term.
    pub cause: FailoverCause,
    /// When the previous primary last responded to this agent.
    pub last_response_at: Option<MonotonicTime>,
    /// When the attempt started.
    pub started_at: MonotonicTime,
    /// When the claim completed or timed out.
    pub claimed_at: Option<MonotonicTime>,
    /// When the servers were fenced and a candidate was chosen.
    pub fenced_at: Option<MonotonicTime>,
    /// When the promotion of the new primary was confirmed.
    pub promoted_at: Option<MonotonicTime>,
    /// When the new primary was published to the store.
    pub published_at: Option<MonotonicTime>,
}

impl FailoverTimeline {
    /// Creates the timeline of an attempt that starts at `now`.
    pub(super) fn new(
        term: LeaderTerm,
        cause: FailoverCause,
        last_response_at: Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> Self {
        Self {
            term,
            cause,
            last_response_at,
            started_at: now,
            claimed_at: None,
            fenced_at: None,
            promoted_at: None,
            published_at: None,
        }
    }

    /// Returns the time from the primary's last response to the start.
    #[must_use]
    pub fn detection(&self) -> Option<Duration> {
        let last_response_at = self.last_response_at?;
        Some(self.started_at.saturating_since(last_response_at))
    }

    /// Returns the time from the start to the confirmed promotion.
    #[must_use]
    pub fn promotion(&self) -> Option<Duration> {
        let promoted_at = self.promoted_at?;
        Some(promoted_at.saturating_since(self.started_at))
    }
}
