//! Grants entries requests from the rates and bursts of customers.

mod budget_router;
mod escrow_ledgers;
mod escrow_manager;
mod escrow_write;
mod static_shares;

pub(crate) use budget_router::{BudgetRouter, LedgerKind};
pub(crate) use escrow_manager::EscrowManager;

pub use static_shares::StaticShares;
