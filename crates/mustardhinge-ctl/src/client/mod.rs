//! Calls of the operator API.

mod call_failure;
mod operator_client;

pub use operator_client::OperatorClient;
