//! Connections to targets: health checks, limits and pool sizing.

mod connection_health;
mod connection_share;
mod health_settings;
mod limit_error;
mod pool_action;
mod pool_demand;
mod pool_limit;
mod reuse_verdict;
mod timeout_action;
mod use_frequency;

pub use connection_health::ConnectionHealth;
pub use connection_share::ConnectionShare;
pub use health_settings::HealthSettings;
pub use limit_error::LimitError;
pub use pool_action::PoolAction;
pub use pool_demand::PoolDemand;
pub use pool_limit::PoolLimit;
pub use reuse_verdict::ReuseVerdict;
pub use timeout_action::TimeoutAction;
pub use use_frequency::UseFrequency;
