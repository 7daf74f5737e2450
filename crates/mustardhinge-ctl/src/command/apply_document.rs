use std::path::Path;

use mustardhinge_core::prelude::{DocumentVersion, OperationId};
use mustardhinge_rpc::operator::{DocumentUpdate, UpdateResult};
use reqwest::Method;

use super::document_file::DocumentFile;
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Puts a document in force if the expected version is in force now.
pub(super) async fn run(
    client: &OperatorClient,
    file: &Path,
    expected_version: DocumentVersion,
    operation_id: OperationId,
) -> Result<CommandReport, CtlError> {
    let DocumentFile { text, document } = DocumentFile::read(file)?;
    let path = format!("/services/{}", document.service);
    let update = DocumentUpdate {
        expected_version,
        operation_id: operation_id.clone(),
        document: text,
    };
    let result: UpdateResult = client
        .change(Method::PUT, &path, &update, &operation_id)
        .await?;
    let message = format!(
        "service {}: version {} is in force",
        document.service, result.version
    );
    Ok(CommandReport::new(message, &result))
}
