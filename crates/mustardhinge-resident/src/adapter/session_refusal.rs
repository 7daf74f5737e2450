use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

/// An answer of the proxy itself that is not a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRefusal {
    /// The request has not run and nothing of it is kept.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The transaction was lost before its end; nothing of it is kept.
    Aborted,
    /// Whether it ran, or is kept, is not known.
    Unknown,
    /// The statement took longer than its route allows.
    TimedOut,
    /// The statement makes no sense here.
    Malformed(&'static str),
    /// The prepared name is not known.
    UnknownName,
}

impl SessionRefusal {
    /// Returns why in one word, for logs and metrics.
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
