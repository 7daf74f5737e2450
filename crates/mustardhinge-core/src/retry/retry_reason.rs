use std::fmt;

use crate::request::NotRunProof;

/// The reason for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The connection could not be opened, so no byte of the statement was sent.
    ConnectFailed,
    /// The target's response proves that the statement did not run.
    NotRun(NotRunProof),
    /// The connection was lost after the statement was sent.
    ConnectionLost,
    /// The response is overdue.
    AnswerOverdue,
}

impl RetryReason {
    /// Returns whether the failed attempt provably did not run.
    #[must_use]
    pub const fn is_proven_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotRun(_))
    }

    /// Returns the metric label value of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::NotRun(proof) => proof.label(),
            Self::ConnectionLost => "connection_lost",
            Self::AnswerOverdue => "answer_overdue",
        }
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
