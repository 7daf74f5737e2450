use super::{RefusalReason, RetryDelay};

/// How a statement ended, as far as its caller may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// The statement ran and its effect lasts.
    Completed,
    /// The statement did not run and will not.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// When to come back; `None` if coming back can't help.
        retry_after: Option<RetryDelay>,
    },
    /// The statement may have run, or may yet run.
    Unknown,
}
