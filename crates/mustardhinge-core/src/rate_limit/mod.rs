//! Rate limits of customers over all instances, enforced by the leader.
//!
//! Each instance admits operations within a small allowance and reports how many it admitted. The
//! leader keeps one token bucket per customer and grants no allowance while the bucket is
//! negative. Without a leader, each instance uses its own share of each rate, and the instances of
//! a zone lend each other what they can't use. Groups that keep ledgers in the store use [`budget`](crate::budget) instead.

mod admission_context;
mod allowance_grant;
mod allowance_preview;
mod allowance_source;
mod allowance_table;
mod answered_message;
mod bucket_generation;
mod customer_allowance;
mod customer_deposit;
mod customer_rate;
mod decaying_rate;
mod fill_recovery;
mod isolated_bucket;
mod leader_delays;
mod listed_instances;
mod loan_outcome;
mod loan_ticket;
mod pool_term;
mod pooled_share;
mod rate_limiter;
mod rate_refusal;
mod response_delay;
mod share_amount;
mod share_deposit;
mod share_exchange;
mod share_ledger;
mod share_loan;
mod share_pool;
mod unreachable_instances;
mod unreported_instances;
mod usage_report;

pub use admission_context::AdmissionContext;
pub use allowance_grant::AllowanceGrant;
pub use allowance_preview::AllowancePreview;
pub use allowance_source::AllowanceSource;
pub use allowance_table::AllowanceTable;
pub use bucket_generation::BucketGeneration;
pub use customer_allowance::CustomerAllowance;
pub use customer_deposit::CustomerDeposit;
pub use customer_rate::CustomerRate;
pub use leader_delays::LeaderDelays;
pub use loan_outcome::LoanOutcome;
pub use loan_ticket::LoanTicket;
pub use pool_term::PoolTerm;
pub use rate_limiter::RateLimiter;
pub use rate_refusal::RateRefusal;
pub use share_amount::ShareAmount;
pub use share_deposit::ShareDeposit;
pub use share_exchange::ShareExchange;
pub use share_loan::ShareLoan;
pub use share_pool::SharePool;
pub use usage_report::UsageReport;
