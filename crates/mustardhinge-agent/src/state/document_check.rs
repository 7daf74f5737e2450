use mustardhinge_process::event;

use super::AdoptedDocument;
use crate::platform::StoredObject;

/// Parses the documents of a store response; logs and skips invalid ones.
pub(super) fn parse_documents(objects: &[StoredObject]) -> Vec<AdoptedDocument> {
    objects.iter().filter_map(parse_document).collect()
}

fn parse_document(object: &StoredObject) -> Option<AdoptedDocument> {
    let text = object.value.as_str().unwrap_or_default();
    let parsed = AdoptedDocument::parse(object.version, object.operation_id.clone(), text);
    match parsed {
        Ok(document) if document.document.service.as_str() == object.name => Some(document),
        Ok(document) => {
            let service = &document.document.service;
            log_rejected(object, &format!("its service is {service}"));
            None
        }
        Err(findings) => {
            log_rejected(object, &format!("{} findings", findings.len()));
            None
        }
    }
}

fn log_rejected(object: &StoredObject, reason: &str) {
    metrics::counter!("mustardhinge_documents_rejected_total").increment(1);
    let (name, version) = (&object.name, object.version);
    event::DOCUMENT_REJECTED.log(format_args!(
        "object={name} version={version} reason={reason:?}"
    ));
}
