//! Control ports: fault switches and state over HTTP with JSON.

mod control_server;
mod platform_control;
mod platform_fault_state;
mod platform_state;
mod target_control;
mod target_fault_state;
mod target_state;

pub use control_server::ControlServer;
pub use platform_control::start_platform_control;
pub use platform_fault_state::PlatformFaultState;
pub use platform_state::PlatformState;
pub use target_control::start_target_control;
pub use target_fault_state::TargetFaultState;
pub use target_state::TargetState;
