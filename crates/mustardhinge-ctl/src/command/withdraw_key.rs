use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::{CustomerId, OperationId, ServiceId};
use mustardhinge_rpc::operator::{KeyWithdrawal, UpdateResult};
use reqwest::Method;

use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Withdraws a key of a customer.
pub(super) async fn run(
    client: &OperatorClient,
    service: &ServiceId,
    customer: CustomerId,
    digest: KeyDigest,
    operation_id: OperationId,
) -> Result<CommandReport, CtlError> {
    let path = format!("/services/{service}/withdraw-key");
    let text = format!("service {service}: the key of {customer} is withdrawn");
    let withdrawal = KeyWithdrawal {
        operation_id: operation_id.clone(),
        customer,
        digest,
    };
    let result: UpdateResult = client
        .change(Method::POST, &path, &withdrawal, &operation_id)
        .await?;
    let text = format!("{text}, version {} is in force", result.version);
    Ok(CommandReport::new(text, &result))
}
