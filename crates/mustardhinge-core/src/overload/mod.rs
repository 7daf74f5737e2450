//! Overload control: whether a deployment calls for it, which targets it trusts, and what their
//! capacity is as observed.

mod failure_table;
mod observed_capacity;
mod outcome_counts;
mod overload_control;
mod overload_switch;
mod peer_comparison;
mod probe_trust;
mod reduction_limits;
mod share_reduction;
mod target_failures;

pub use failure_table::FailureTable;
pub use observed_capacity::ObservedCapacity;
pub use overload_control::OverloadControl;
pub use overload_switch::OverloadSwitch;
pub use probe_trust::ProbeTrust;
pub use reduction_limits::ReductionLimits;
