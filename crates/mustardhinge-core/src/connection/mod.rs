//! Connections to targets: health checks, limits and pool sizing.

mod connection_health;
mod connection_holdings;
mod connection_share;
mod health_settings;
mod idle_transaction;
mod idle_transactions;
mod limit_error;
mod pool_action;
mod pool_demand;
mod pool_limit;
mod reuse_verdict;
mod shared_limit;
mod timeout_action;
mod transaction_number;
mod use_frequency;

pub use connection_health::ConnectionHealth;
pub use connection_holdings::ConnectionHoldings;
pub use connection_share::ConnectionShare;
pub use health_settings::HealthSettings;
pub use idle_transaction::IdleTransaction;
pub use idle_transactions::IdleTransactions;
pub use limit_error::LimitError;
pub use pool_action::PoolAction;
pub use pool_demand::PoolDemand;
pub use pool_limit::PoolLimit;
pub use reuse_verdict::ReuseVerdict;
pub use shared_limit::SharedLimit;
pub use timeout_action::TimeoutAction;
pub use transaction_number::TransactionNumber;
pub use use_frequency::UseFrequency;
