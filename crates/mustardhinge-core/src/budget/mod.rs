//! Rate limits of a customer across all instances.
//!
//! Each availability zone has a share of the customer's rate and burst. The shares
//! never sum to more than the whole. One agent of each zone, the lease holder, keeps
//! the ledger of the zone's share and grants requests in small amounts to the
//! entries of any zone. A grant counts against the burst until the entry reports it
//! spent, returns it, or it expires. Over any window, all ledgers together therefore
//! grant at most burst + rate × window, even if messages are lost, repeated or
//! reordered and processes are paused or killed.

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
