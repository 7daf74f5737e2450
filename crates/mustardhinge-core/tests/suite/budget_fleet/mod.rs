//! The window rule of the budget over a small fleet that is driven through faults.

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
