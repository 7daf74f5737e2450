use std::fmt;

/// Why a statement is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryRefusal {
    /// It may have run and may not be repeated.
    NotRepeatable,
    /// It has been sent as often as allowed.
    AttemptsUsed,
    /// The customer's retry budget is used up.
    BudgetUsed,
    /// Its deadline would pass first.
    DeadlineNear,
}

impl RetryRefusal {
    /// Returns the label value of the reason.
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
