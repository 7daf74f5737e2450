//! Control state that an agent and the entry of its instance exchange.

mod control_request;
mod control_state;
mod group_state;
mod service_state;
mod target_observation;

pub use control_request::ControlRequest;
pub use control_state::ControlState;
pub use group_state::GroupState;
pub use service_state::ServiceState;
pub use target_observation::TargetObservation;
