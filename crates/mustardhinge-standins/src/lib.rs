//! Small stand-ins of the platform and of the target, with fault switches, for
//! tests and trials.

pub mod control;
pub mod fault;
pub mod forward;
pub mod platform;
pub mod standin_process;
pub mod target;
