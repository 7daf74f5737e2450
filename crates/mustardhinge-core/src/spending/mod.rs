//! Customers' rates over all instances, counted by one holder.
//!
//! Each instance spends a small allowance on its own and reports what it spent; the holder
//! keeps the one bucket of each customer and stops allowances while that is in debt.
//! Groups that keep ledgers in the store instead use [`budget`](crate::budget).

mod customer_rate;
mod spend_book;
mod spend_grant;
mod spend_meter;
mod spend_refusal;
mod spend_report;
mod spend_speed;
mod spend_table;
mod unheard_list;

pub use customer_rate::CustomerRate;
pub use spend_book::SpendBook;
pub use spend_grant::SpendGrant;
pub use spend_meter::SpendMeter;
pub use spend_refusal::SpendRefusal;
pub use spend_report::SpendReport;
pub use spend_table::SpendTable;
