//! Calls of the operator API.

mod call_failure;
mod explain_client;
mod operator_client;

pub use explain_client::ExplainClient;
pub use operator_client::OperatorClient;
use operator_client::root_cause;
