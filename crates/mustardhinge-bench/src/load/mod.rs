//! The work of both deployments: who asks what and when, and the callers that send it.

mod caller_connection;
mod caller_session;
mod customer_profile;
mod deployment_name;
mod deployment_profile;
mod entry_endpoint;
mod load_planner;
mod operation_sender;
mod planned_operation;
mod route_names;
mod session_clock;
mod session_plan;
mod statement_error;
mod work_mix;

pub use caller_connection::CallerConnection;
pub use caller_session::CallerSession;
pub use customer_profile::CustomerProfile;
pub use deployment_name::DeploymentName;
pub use deployment_profile::DeploymentProfile;
pub use entry_endpoint::EntryEndpoint;
pub use load_planner::{LoadPlanner, surge_span};
pub use planned_operation::PlannedOperation;
pub use route_names::{
    AGED_ROUTE, CONFIRM_ROUTE, NEWEST_ROUTE, OPEN_ROUTE, ORDER_ROUTE, REASSIGN_ROUTE, WORK_TABLE,
};
pub use session_clock::SessionClock;
pub use session_plan::SessionPlan;
pub use statement_error::StatementError;
pub use work_mix::WorkMix;
