//! Small stand-ins of the platform and of the target, with fault switches, for
//! tests and trials.

pub mod fault;
pub mod target;
