//! Rate limits of customers over all instances, enforced by the leader.
//!
//! Each instance admits operations within a small allowance and reports how many it admitted. The
//! leader keeps one token bucket per customer and grants no allowance while the bucket is
//! negative. Groups that keep ledgers in the store use [`budget`](crate::budget) instead.

mod admission_context;
mod allowance_grant;
mod allowance_preview;
mod allowance_source;
mod allowance_table;
mod bucket_generation;
mod customer_allowance;
mod customer_rate;
mod decaying_rate;
mod fill_recovery;
mod isolated_bucket;
mod leader_delays;
mod rate_limiter;
mod rate_refusal;
mod response_delay;
mod share_ledger;
mod unreachable_instances;
mod usage_report;

pub use admission_context::AdmissionContext;
pub use allowance_grant::AllowanceGrant;
pub use allowance_preview::AllowancePreview;
pub use allowance_source::AllowanceSource;
pub use allowance_table::AllowanceTable;
pub use bucket_generation::BucketGeneration;
pub use customer_allowance::CustomerAllowance;
pub use customer_rate::CustomerRate;
pub use leader_delays::LeaderDelays;
pub use rate_limiter::RateLimiter;
pub use rate_refusal::RateRefusal;
pub use usage_report::UsageReport;
