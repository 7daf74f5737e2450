//! The choice of a read's target from outdated load reports, without a network.

mod affinity;
mod choice;
mod fleet_model;
mod fleet_replay;
mod load;
