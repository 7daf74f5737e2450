//! The outcome of a statement as reported to its caller.

mod refusal_reason;
mod retry_delay;
mod statement_outcome;

pub use refusal_reason::RefusalReason;
pub use retry_delay::RetryDelay;
pub use statement_outcome::StatementOutcome;
