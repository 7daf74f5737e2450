//! Control process of an instance: platform, peers, budgets, failover.
//!
//! The agent learns documents, instances and primaries from the platform and
//! from other agents, and tells the entry beside it what it needs to serve.
//! All of it runs on one thread.

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
