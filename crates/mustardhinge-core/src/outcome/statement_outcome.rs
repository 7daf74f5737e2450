use super::{RefusalReason, RetryDelay};

/// The outcome of a statement, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// The statement ran and its effect is durable.
    Completed,
    /// The statement did not run and never will.
    NotRun {
        /// Why the statement was refused.
        reason: RefusalReason,
        /// When to retry, or `None` if a retry can't succeed.
        retry_after: Option<RetryDelay>,
    },
    /// The statement may have run or may still run.
    Unknown,
}
