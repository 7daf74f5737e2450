use std::fmt;

use crate::request::NotRunProof;

/// Why a statement may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No byte of it went out: the connection could not be opened.
    ConnectFailed,
    /// The target has proved that it did not run.
    NotRun(NotRunProof),
    /// The connection broke after it was sent.
    ConnectionLost,
    /// The answer is overdue.
    AnswerOverdue,
}

impl RetryReason {
    /// Returns whether the first attempt certainly did not run.
    #[must_use]
    pub const fn is_proven_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotRun(_))
    }

    /// Returns the label value of the reason.
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
