//! Whether a deployment calls for overload control.

mod overload_control;
mod overload_switch;

pub use overload_control::OverloadControl;
pub use overload_switch::OverloadSwitch;
