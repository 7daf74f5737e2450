//! Lends requests out of customers' rates and bursts to entries.

mod static_shares;

pub use static_shares::StaticShares;
