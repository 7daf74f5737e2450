//! Startup and shutdown of the agent.

mod agent_builder;
mod agent_parts;
mod agent_process;

pub use agent_builder::AgentBuilder;
pub use agent_process::AgentProcess;
