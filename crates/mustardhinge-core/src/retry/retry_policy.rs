use rand::Rng;

use crate::units::MonotonicTime;

use super::{FailedAttempt, RetryBackoff, RetryBudget, RetryDecision, RetryRefusal};

/// Decides whether and when failed statements are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    max_attempts: u32,
    backoff: RetryBackoff,
}

impl RetryPolicy {
    const DEFAULT_MAX_ATTEMPTS: u32 = 3;

    /// Creates a policy with at most `max_attempts`, including the first.
    #[must_use]
    pub const fn new(max_attempts: u32, backoff: RetryBackoff) -> Self {
        Self {
            max_attempts,
            backoff,
        }
    }

    /// Decides whether a statement is retried after a failed attempt, and if so
    /// withdraws the retry from the budget.
    pub fn decide(
        &self,
        failure: &FailedAttempt,
        budget: &mut RetryBudget,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        if !failure.is_repeatable && !failure.reason.is_proven_not_run() {
            return RetryDecision::GiveUp(RetryRefusal::NotRepeatable);
        }
        if failure.attempt >= self.max_attempts {
            return RetryDecision::GiveUp(RetryRefusal::AttemptsUsed);
        }
        let retry = failure.attempt.saturating_sub(1);
        let at = now + self.backoff.wait(retry, rng);
        if at >= failure.deadline {
            return RetryDecision::GiveUp(RetryRefusal::DeadlineNear);
        }
        if !budget.withdraw() {
            return RetryDecision::GiveUp(RetryRefusal::BudgetUsed);
        }
        RetryDecision::RetryAt {
            at,
            reason: failure.reason,
        }
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(Self::DEFAULT_MAX_ATTEMPTS, RetryBackoff::default())
    }
}
