use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;

use super::OpenTransaction;
use crate::adapter::SessionRefusal;

/// What a statement leaves behind if the process ends before its response arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnfinishedStatement {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement of a transaction, or the end of one that wrote nothing.
    InTransaction,
    /// The commit of a transaction that wrote.
    Commit,
}

impl UnfinishedStatement {
    /// Returns the kind of a statement of `transaction`, or outside any.
    pub(super) const fn run(transaction: Option<&OpenTransaction>, writes: bool) -> Self {
        match (transaction, writes) {
            (Some(_), _) => Self::InTransaction,
            (None, true) => Self::Write,
            (None, false) => Self::Read,
        }
    }

    /// Returns the kind of the commit of `transaction`.
    pub(super) const fn commit(transaction: Option<&OpenTransaction>) -> Self {
        match transaction {
            Some(transaction) if transaction.has_written => Self::Commit,
            _ => Self::InTransaction,
        }
    }

    /// Returns the answer for the caller.
    pub(super) const fn refusal(self, was_sent: bool) -> SessionRefusal {
        match self {
            // A commit may have been sent on a connection that was used before.
            Self::Commit => SessionRefusal::Unknown,
            Self::InTransaction => SessionRefusal::Aborted,
            Self::Write if was_sent => SessionRefusal::Unknown,
            Self::Read if was_sent => SessionRefusal::TimedOut,
            Self::Read | Self::Write => SessionRefusal::NotRun {
                reason: RefusalReason::InstanceDraining,
                retry_after: Some(Duration::ZERO),
            },
        }
    }
}
