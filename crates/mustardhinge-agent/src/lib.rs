//! Control process of an instance: platform, peers, budgets, failover.
//!
//! The agent receives documents, the list of instances and primaries from the
//! platform and from other agents, and provides the entry of its instance with the
//! state it needs to serve. The agent is single-threaded.

pub mod budget;
mod entry;
mod group;
mod membership;
mod operator;
mod peer;
pub mod platform;
mod process;
mod state;
mod target;

pub use process::{AgentBuilder, AgentProcess};
