use std::time::Duration;

use crate::units::{LeaderTerm, MonotonicTime};

use super::FailoverCause;

/// When each step of a change of primary ended, for the split of the gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverTimeline {
    /// The term begun.
    pub term: LeaderTerm,
    /// Why it was begun.
    pub cause: FailoverCause,
    /// When the primary before was last heard here.
    pub last_response_at: Option<MonotonicTime>,
    /// When the attempt began.
    pub started_at: MonotonicTime,
    /// When the claim was answered or given up.
    pub claimed_at: Option<MonotonicTime>,
    /// When a majority had granted the term.
    pub fenced_at: Option<MonotonicTime>,
    /// When the new primary answered.
    pub promoted_at: Option<MonotonicTime>,
    /// When the store had the publication.
    pub published_at: Option<MonotonicTime>,
}

impl FailoverTimeline {
    /// Makes the timeline of an attempt that begins.
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

    /// Returns the time from the last word of the primary to the start.
    #[must_use]
    pub fn detection(&self) -> Option<Duration> {
        let last_response_at = self.last_response_at?;
        Some(self.started_at.saturating_since(last_response_at))
    }

    /// Returns the time from the start to the new primary's answer.
    #[must_use]
    pub fn promotion(&self) -> Option<Duration> {
        let promoted_at = self.promoted_at?;
        Some(promoted_at.saturating_since(self.started_at))
    }
}
