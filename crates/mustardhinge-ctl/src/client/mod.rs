//! Calls of the operator API.

mod operator_client;

pub use operator_client::OperatorClient;
