//! Lends requests out of customers' rates and bursts to entries.

mod budget_desk;
mod escrow_books;
mod escrow_keeper;
mod escrow_write;
mod static_shares;

pub(crate) use budget_desk::{BudgetDesk, LedgerKind};
pub(crate) use escrow_keeper::EscrowKeeper;

pub use static_shares::StaticShares;
