use mustardhinge_core::prelude::ServiceId;
use mustardhinge_rpc::operator::ServiceText;

use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Prints the document in force; the first line is a comment with its version.
pub(super) async fn run(
    client: &OperatorClient,
    service: &ServiceId,
) -> Result<CommandReport, CtlError> {
    let answer: ServiceText = client.get(&format!("/services/{service}")).await?;
    let origin = if answer.from_store {
        ""
    } else {
        "; the platform is out, a newer one may be in force"
    };
    let text = format!(
        "# version {}, operation {}{origin}\n{}",
        answer.version, answer.operation_id, answer.document
    );
    Ok(CommandReport::new(text, &answer))
}
