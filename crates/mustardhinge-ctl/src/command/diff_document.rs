use std::path::Path;

use mustardhinge_config::document::{ServiceDocument, find_differences};
use mustardhinge_rpc::operator::{DocumentChange, ServiceText};
use serde_json::json;

use super::document_file::DocumentFile;
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Names what differs between a file and the document in force.
pub(super) async fn run(client: &OperatorClient, file: &Path) -> Result<CommandReport, CtlError> {
    let new = DocumentFile::read(file)?.document;
    let path = format!("/services/{}", new.service);
    let answer: ServiceText = client.get(&path).await?;
    let old = ServiceDocument::parse(&answer.document)
        .map_err(|findings| CtlError::findings("the document in force", &findings))?;
    let differences = find_differences(&old, &new);
    let changes: Vec<_> = differences.iter().map(DocumentChange::from).collect();
    let mut text = match changes.len() {
        0 => format!("no difference from version {}\n", answer.version),
        _ => format!("from version {}:\n", answer.version),
    };
    for change in &changes {
        text.push_str(&format!("  {change}\n"));
    }
    let json = json!({"version": answer.version, "changes": changes});
    Ok(CommandReport::new(text, &json))
}
