//! State of an instance, shared by its sessions and its control tasks.

mod cold_targets;
mod departed_targets;
mod lost_targets;
mod node_confirmations;
mod node_drain;
mod node_evacuations;
mod node_gateways;
mod node_homes;
mod node_limits;
mod node_process;
mod node_rates;
mod node_settings;
mod node_state;
mod read_failures;
mod relayed_targets;
mod session_guard;
mod wait_metric;

pub use mustardhinge_core::membership::DrainPhase;
pub(crate) use node_homes::record_outside_home;
pub use node_limits::NodeLimits;
pub use node_process::NodeProcess;
pub use node_settings::{NodeSettings, NodeSettingsBuilder};
pub use node_state::NodeState;
pub use session_guard::SessionGuard;
pub(crate) use wait_metric::record_wait;
