//! RPC service for the entry of the same instance.

mod agent_service;

pub(crate) use agent_service::AgentService;
