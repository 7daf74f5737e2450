//! Calls to one target, each with a timeout, over one persistent connection.

mod target_client;
mod target_connection;
mod target_error;

pub(crate) use target_client::TargetClient;
pub(crate) use target_error::TargetError;
