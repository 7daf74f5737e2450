//! Overload control: whether a deployment calls for it, and which targets it trusts.

mod overload_control;
mod overload_switch;
mod probe_trust;

pub use overload_control::OverloadControl;
pub use overload_switch::OverloadSwitch;
pub use probe_trust::ProbeTrust;
