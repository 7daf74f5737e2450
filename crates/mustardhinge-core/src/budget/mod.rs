//! Rate and burst of a customer over all instances together.
//!
//! Each availability zone has a share of the rate and the burst; the shares never
//! sum to more than the whole. One agent of the zone, the holder, keeps the
//! share's ledger and lends requests to the entries of any zone in small amounts.
//! What is lent counts against the burst until it is reported spent, given back
//! or lapsed, so that over any window the sum of what all ledgers lent is at most
//! burst + rate × window, whatever is lost, repeated, reordered, paused or killed.

mod admission;
mod budget_limit;
mod client_state;
mod demand_meter;
mod entry_allowance;
pub mod lease;
mod ledger_account;
mod ledger_error;
mod ledger_request;
mod ledger_response;
mod request_amount;
mod share_fraction;
mod share_ledger;
mod token_bucket;
mod token_count;
pub mod zone;

pub use admission::Admission;
pub use budget_limit::BudgetLimit;
pub use demand_meter::DemandMeter;
pub use entry_allowance::EntryAllowance;
pub use ledger_error::LedgerError;
pub use ledger_request::{ClientId, LedgerRequest};
pub use ledger_response::LedgerResponse;
pub use request_amount::RequestAmount;
pub use share_fraction::ShareFraction;
pub use share_ledger::ShareLedger;
pub use token_bucket::TokenBucket;
pub use token_count::TokenCount;
