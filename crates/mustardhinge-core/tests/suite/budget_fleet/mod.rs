//! The limit over any window, for a simulated small fleet with faults.

mod agent;
mod customer_side;
mod entry;
mod event;
mod faults;
mod history;
mod invariants;
mod object_store;
mod plan;
mod skewed_clock;
mod world;
