use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::PrimaryEvidence;

/// An answer speaks for the target for this long; the usual time between two uses.
const RESPONSE_MAX_AGE: Duration = Duration::from_millis(1_000);
/// A target that lacked a position is passed over for this long; several times the usual
/// lag, so that it gets a few questions a second.
const MISSING_POSITION_PENALTY: Duration = Duration::from_millis(150);

/// What the use of a target told about it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failing_since: Option<MonotonicTime>,
    is_refused: bool,
    last_response_at: Option<MonotonicTime>,
    lacks_position_until: MonotonicTime,
    applied_position: Option<LogPosition>,
}

impl TargetHealth {
    /// Takes an answer.
    pub fn record_response(&mut self, position: Option<LogPosition>, now: MonotonicTime) {
        self.failing_since = None;
        self.is_refused = false;
        self.last_response_at = Some(now);
        if position.is_some() {
            self.applied_position = position;
        }
    }

    /// Takes a failure that began at `since`. Returns whether it is the first.
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

    /// Takes the word that it lacks a position.
    pub fn record_missing_position(&mut self, now: MonotonicTime) {
        self.lacks_position_until = now + MISSING_POSITION_PENALTY;
    }

    /// Returns whether it fails.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether its address answered, but not with the target.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Returns whether it is likely to lack what reads ask for.
    #[must_use]
    pub fn lacks_position(&self, now: MonotonicTime) -> bool {
        now < self.lacks_position_until
    }

    /// Returns the last position it was seen to have applied.
    #[must_use]
    pub const fn applied_position(&self) -> Option<LogPosition> {
        self.applied_position
    }

    /// Returns what this says about a primary.
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
