use std::fmt;

use crate::outcome::RefusalReason;

/// Why an item left the queue without being sent.
///
/// The `Display` form is the value of the `reason` label of the refusal counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureCause {
    /// An item of a higher priority or of a customer with a shorter queue took its place.
    Displaced,
    /// Its deadline passed.
    DeadlinePassed,
}

impl DepartureCause {
    /// Returns the value of the `reason` metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Displaced => "displaced",
            Self::DeadlinePassed => "deadline_passed",
        }
    }
}

impl From<RefusalReason> for DepartureCause {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::DeadlinePassed => Self::DeadlinePassed,
            _ => Self::Displaced,
        }
    }
}

impl fmt::Display for DepartureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.label())
    }
}
