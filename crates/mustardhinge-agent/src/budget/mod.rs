//! Lends requests out of customers' rates and bursts to the entry.

mod static_shares;

pub use static_shares::StaticShares;
