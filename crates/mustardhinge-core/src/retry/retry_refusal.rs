use std::fmt;

/// The reason why a statement is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryRefusal {
    /// The statement may have run, and it is not safe to run it twice.
    NotRepeatable,
    /// The maximum number of attempts is reached.
    AttemptsUsed,
    /// The customer's retry budget is exhausted.
    BudgetUsed,
    /// The statement's deadline would pass before the retry.
    DeadlineNear,
}

impl RetryRefusal {
    /// Returns the metric label value of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::AttemptsUsed => "attempts_used",
            Self::BudgetUsed => "budget_used",
            Self::DeadlineNear => "deadline_near",
        }
    }
}

impl fmt::Display for RetryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
