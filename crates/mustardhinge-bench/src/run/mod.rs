//! Runs of the product's own code against the stand-ins, with faults.

mod baseline_name;
mod fault_name;

pub use baseline_name::BaselineName;
pub use fault_name::FaultName;
