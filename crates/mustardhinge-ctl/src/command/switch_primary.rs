use mustardhinge_core::prelude::{GroupId, TargetId};
use mustardhinge_rpc::operator::{SwitchoverRequest, SwitchoverResult};
use reqwest::Method;

use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Changes the primary of a group as planned.
pub(super) async fn run(
    client: &OperatorClient,
    group: &GroupId,
    to: Option<TargetId>,
) -> Result<CommandReport, CtlError> {
    let path = format!("/groups/{group}/switchover");
    let request = SwitchoverRequest { to };
    let result: SwitchoverResult = client.change_once(Method::POST, &path, &request).await?;
    let text = format!(
        "group {}: {} is the primary of term {}, after {} ms",
        result.group, result.primary, result.term, result.took_ms
    );
    Ok(CommandReport::new(text, &result))
}
