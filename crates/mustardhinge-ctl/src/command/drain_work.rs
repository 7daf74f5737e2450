use mustardhinge_core::prelude::OperationId;
use mustardhinge_rpc::operator::{AgentStatus, DrainRequest, UpdateResult};
use reqwest::Method;

use super::show_status::status_text;
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Makes the target at `path` leave, or stay after all.
pub(super) async fn drain_target(
    client: &OperatorClient,
    path: &str,
    draining: bool,
    operation_id: OperationId,
) -> Result<CommandReport, CtlError> {
    let request = DrainRequest {
        operation_id: operation_id.clone(),
        draining,
    };
    let result: UpdateResult = client
        .change(Method::POST, path, &request, &operation_id)
        .await?;
    let state = if draining { "leaves" } else { "stays" };
    let text = format!("the target {state}: version {} is in force", result.version);
    Ok(CommandReport::new(text, &result))
}

/// Makes the agent's own instance leave, or stay after all.
pub(super) async fn drain_instance(
    client: &OperatorClient,
    draining: bool,
    operation_id: OperationId,
) -> Result<CommandReport, CtlError> {
    let request = DrainRequest {
        operation_id: operation_id.clone(),
        draining,
    };
    let status: AgentStatus = client
        .change(Method::POST, "/drain", &request, &operation_id)
        .await?;
    Ok(CommandReport::new(status_text(&status), &status))
}
