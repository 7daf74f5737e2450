//! The state of one database group on an instance.

mod group_state;

pub use group_state::GroupState;
