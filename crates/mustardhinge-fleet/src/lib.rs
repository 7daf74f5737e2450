//! A small fleet in one process: stand-ins of the platform and the targets, and
//! the product's own agents and entries, as tasks on loopback.
//!
//! It serves tests, the demo and the bench. Time and sockets are real.

mod fleet_builder;
mod fleet_instance;
mod small_fleet;

pub use fleet_builder::FleetBuilder;
pub use fleet_instance::FleetInstance;
pub use small_fleet::SmallFleet;
