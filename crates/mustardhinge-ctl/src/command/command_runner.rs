use std::io::Read;
use std::net::SocketAddr;

use mustardhinge_core::prelude::OperationId;

use super::{
    apply_document, check_document, diff_document, drain_work, explain_route, key_input,
    show_document, show_status, switch_primary, withdraw_key,
};
use crate::args::{CtlArgs, CtlCommand};
use crate::client::{ExplainClient, OperatorClient};
use crate::error::CtlError;
use crate::report::CommandReport;

/// Runs a command; a key is read from `input`.
///
/// # Errors
///
/// Fails if the command was not done, or its outcome is unknown.
pub async fn run_command(args: CtlArgs, input: impl Read) -> Result<CommandReport, CtlError> {
    let agent = args.agent;
    let operation_id = args.operation_id.map_or_else(new_operation_id, Ok)?;
    match args.command {
        CtlCommand::Check { file } => check_document::run(&file),
        CtlCommand::KeyDigest => key_input::report_digest(input),
        CtlCommand::Explain { instance, query } => {
            explain_route::run(&ExplainClient::new(instance)?, &query).await
        }
        CtlCommand::Apply {
            file,
            expected_version,
        } => {
            let client = connect(agent)?;
            apply_document::run(&client, &file, expected_version, operation_id).await
        }
        CtlCommand::Show { service } => show_document::run(&connect(agent)?, &service).await,
        CtlCommand::Diff { file } => diff_document::run(&connect(agent)?, &file).await,
        CtlCommand::Status => show_status::run(&connect(agent)?).await,
        CtlCommand::WithdrawKey {
            service,
            customer,
            digest,
        } => {
            let digest = digest.map_or_else(|| key_input::read_digest(input), Ok)?;
            let client = connect(agent)?;
            withdraw_key::run(&client, &service, customer, digest, operation_id).await
        }
        CtlCommand::DrainTarget {
            service,
            target,
            draining,
        } => {
            let path = format!("/services/{service}/targets/{target}/drain");
            drain_work::drain_target(&connect(agent)?, &path, draining, operation_id).await
        }
        CtlCommand::DrainInstance { draining } => {
            drain_work::drain_instance(&connect(agent)?, draining, operation_id).await
        }
        CtlCommand::Switchover { group, to } => {
            switch_primary::run(&connect(agent)?, &group, to).await
        }
    }
}

fn connect(agent: Option<SocketAddr>) -> Result<OperatorClient, CtlError> {
    let missing = || CtlError::usage("--agent IP:PORT or MUSTARDHINGE_AGENT is needed");
    OperatorClient::new(agent.ok_or_else(missing)?)
}

/// Makes the name of a new update.
fn new_operation_id() -> Result<OperationId, CtlError> {
    let number: u128 = rand::random();
    let text = format!("ctl-{number:032x}");
    text.parse()
        .map_err(|error| CtlError::internal(format!("operation id: {error}")))
}
