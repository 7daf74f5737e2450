use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::PrimaryEvidence;

/// Time for which a response counts as evidence; the typical time between two uses of a target.
const RESPONSE_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Time for which a target is skipped after it lacked a position. Several times the typical lag, so
/// that the target still gets a few requests per second.
const MISSING_POSITION_PENALTY: Duration = Duration::from_millis(150);

/// Health of a target, derived from the responses to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failing_since: Option<MonotonicTime>,
    is_refused: bool,
    last_response_at: Option<MonotonicTime>,
    lacks_position_until: MonotonicTime,
    applied_position: Option<LogPosition>,
}

impl TargetHealth {
    /// Records a response.
    pub fn record_response(&mut self, position: Option<LogPosition>, now: MonotonicTime) {
        self.failing_since = None;
        self.is_refused = false;
        self.last_response_at = Some(now);
        if position.is_some() {
            self.applied_position = position;
        }
    }

    /// Records a failure that began at `since`. If a response arrived after that, the target doesn't
    /// count as failing. Returns whether this marks the target as failing.
    pub fn record_failure(&mut self, since: MonotonicTime, is_refused: bool) -> bool {
        self.is_refused = is_refused;
        if self.failing_since.is_some() {
            return false;
        }
        if self.last_response_at.is_some_and(|at| at > since) {
            return false;
        }
        self.failing_since = Some(since);
        true
    }

    /// Marks the target as failing since `since` at the latest, whatever responses it gave. Returns
    /// whether it was not failing before.
    pub fn mark_failing(&mut self, since: MonotonicTime) -> bool {
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(since);
        is_first
    }

    /// Records that the target reported a missing log position.
    pub fn record_missing_position(&mut self, now: MonotonicTime) {
        self.lacks_position_until = now + MISSING_POSITION_PENALTY;
    }

    /// Returns whether the target is failing.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether the address responded, but not as this target.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Returns whether the target recently lacked a position that a read required.
    #[must_use]
    pub fn lacks_position(&self, now: MonotonicTime) -> bool {
        now < self.lacks_position_until
    }

    /// Returns the last reported position that the target has applied.
    #[must_use]
    pub const fn applied_position(&self) -> Option<LogPosition> {
        self.applied_position
    }

    /// Returns this health as evidence about a primary.
    #[must_use]
    pub fn evidence(&self, now: MonotonicTime) -> PrimaryEvidence {
        match (self.failing_since, self.last_response_at) {
            (Some(since), _) => {
                let millis = now.saturating_since(since).as_millis();
                let millis = u32::try_from(millis).unwrap_or(u32::MAX);
                if self.is_refused {
                    PrimaryEvidence::Refuses(millis)
                } else {
                    PrimaryEvidence::Fails(millis)
                }
            }
            (None, Some(at)) if now.saturating_since(at) < RESPONSE_MAX_AGE => {
                PrimaryEvidence::Answers
            }
            _ => PrimaryEvidence::Silent,
        }
    }
}
