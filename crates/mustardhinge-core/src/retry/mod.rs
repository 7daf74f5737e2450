//! Retries of failed statements: which, when and how many.

mod failed_attempt;
mod recent_count;
mod recent_retries;
mod retry_backoff;
mod retry_budget;
mod retry_decision;
mod retry_policy;
mod retry_reason;
mod retry_refusal;
mod retry_table;

pub use failed_attempt::FailedAttempt;
pub use recent_retries::RecentRetries;
pub use retry_backoff::RetryBackoff;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_policy::RetryPolicy;
pub use retry_reason::RetryReason;
pub use retry_refusal::RetryRefusal;
pub use retry_table::RetryTable;
