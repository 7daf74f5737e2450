use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

/// An error response of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRefusal {
    /// The request has not run and has no effect.
    NotRun {
        /// Why it has not run.
        reason: RefusalReason,
        /// Delay before a retry.
        retry_after: Option<Duration>,
    },
    /// The transaction was lost before its end and rolled back.
    Aborted,
    /// It is unknown whether the request ran or has an effect.
    Unknown,
    /// The statement exceeded the time limit of its route.
    TimedOut,
    /// The message is invalid, or not allowed in the current state of the session.
    Malformed(&'static str),
    /// There is no prepared statement of this name.
    UnknownName,
}

impl SessionRefusal {
    /// Returns the reason as one word, for logs and metrics.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NotRun { reason, .. } => reason.label(),
            Self::Aborted => "aborted",
            Self::Unknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
            Self::Malformed(_) => "malformed",
            Self::UnknownName => "unknown_name",
        }
    }
}
