use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::PrimaryEvidence;

/// An answer speaks for the target for this long; the usual time between two uses.
const ANSWER_COUNTS: Duration = Duration::from_millis(1_000);
/// A target that lacked a position is passed over for this long; several times the usual
/// lag, so that it gets a few questions a second.
const BEHIND_FOR: Duration = Duration::from_millis(150);

/// What the use of a target told about it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failing_since: Option<MonotonicTime>,
    refuses: bool,
    answered_at: Option<MonotonicTime>,
    behind_until: MonotonicTime,
    applied: Option<LogPosition>,
}

impl TargetHealth {
    /// Takes an answer.
    pub fn answered(&mut self, position: Option<LogPosition>, now: MonotonicTime) {
        self.failing_since = None;
        self.refuses = false;
        self.answered_at = Some(now);
        if position.is_some() {
            self.applied = position;
        }
    }

    /// Takes a failure that began at `since`. Returns whether it is the first.
    pub fn failed(&mut self, since: MonotonicTime, refused: bool) -> bool {
        self.refuses = refused;
        if self.failing_since.is_some() {
            return false;
        }
        if self.answered_at.is_some_and(|at| at > since) {
            return false;
        }
        self.failing_since = Some(since);
        true
    }

    /// Takes the word that it lacks a position.
    pub fn lacked_position(&mut self, now: MonotonicTime) {
        self.behind_until = now + BEHIND_FOR;
    }

    /// Returns whether it fails.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns whether its address answered, but not with the target.
    #[must_use]
    pub const fn refuses(&self) -> bool {
        self.refuses
    }

    /// Returns whether it is likely to lack what reads ask for.
    #[must_use]
    pub fn is_behind(&self, now: MonotonicTime) -> bool {
        now < self.behind_until
    }

    /// Returns the last position it was seen to have applied.
    #[must_use]
    pub const fn applied(&self) -> Option<LogPosition> {
        self.applied
    }

    /// Returns what this says about a primary.
    #[must_use]
    pub fn evidence(&self, now: MonotonicTime) -> PrimaryEvidence {
        match (self.failing_since, self.answered_at) {
            (Some(since), _) => {
                let millis = now.saturating_since(since).as_millis();
                let millis = u32::try_from(millis).unwrap_or(u32::MAX);
                if self.refuses {
                    PrimaryEvidence::Refuses(millis)
                } else {
                    PrimaryEvidence::Fails(millis)
                }
            }
            (None, Some(at)) if now.saturating_since(at) < ANSWER_COUNTS => {
                PrimaryEvidence::Answers
            }
            _ => PrimaryEvidence::Silent,
        }
    }
}
