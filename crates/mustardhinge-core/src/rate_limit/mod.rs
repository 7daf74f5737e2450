//! Customers' rates over all instances, counted by one holder.
//!
//! Each instance spends a small allowance on its own and reports what it spent; the holder
//! keeps the one bucket of each customer and stops allowances while that is in debt.
//! Groups that keep ledgers in the store instead use [`budget`](crate::budget).

mod allowance_grant;
mod allowance_table;
mod customer_allowance;
mod customer_rate;
mod decaying_rate;
mod rate_limiter;
mod rate_refusal;
mod unreachable_instances;
mod usage_report;

pub use allowance_grant::AllowanceGrant;
pub use allowance_table::AllowanceTable;
pub use customer_allowance::CustomerAllowance;
pub use customer_rate::CustomerRate;
pub use rate_limiter::RateLimiter;
pub use rate_refusal::RateRefusal;
pub use usage_report::UsageReport;
