use std::net::SocketAddr;

use mustardhinge_core::prelude::OperationId;

use super::CtlCommand;

/// The parsed command line of a command that is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlArgs {
    /// The operator address of the agent; none if it was not given.
    pub agent: Option<SocketAddr>,
    /// The name of the update; none makes a new one.
    pub operation_id: Option<OperationId>,
    /// Whether JSON is printed.
    pub is_json: bool,
    /// The command.
    pub command: CtlCommand,
}
