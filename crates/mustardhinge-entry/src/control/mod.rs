//! Control state received from the agent, published as snapshots for the traffic
//! threads.

mod agent_client;
mod control_link;
mod control_snapshot;
mod customer_weights;
mod entry_context;
mod lazy_group;
mod service_runtime;
mod write_hold;

pub use agent_client::AgentClient;
pub use control_link::ControlLink;
pub use control_snapshot::ControlSnapshot;
pub use customer_weights::CustomerWeights;
pub use entry_context::EntryContext;
pub use service_runtime::ServiceRuntime;
pub use write_hold::WriteHold;
