use mustardhinge_config::document::edit::{EditError, remove_key};
use mustardhinge_config::document::{ServiceDocument, find_differences};
use mustardhinge_config::finding::{Finding, FindingPlace, Findings};
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;
use mustardhinge_rpc::operator::{
    DocumentChange, DocumentUpdate, ErrorKind, KeyWithdrawal, OperatorError, ServiceText,
    UpdateResult,
};

use super::update_attempt::{
    AttemptOutcome, UpdateAttempt, platform_unavailable, unnamed_operation,
};
use crate::platform::{ObjectKind, ObjectUpdate, PlatformClient, StoredObject};
use crate::state::{AdoptedDocument, SharedState};

/// Maximum number of attempts of an edit that conflicts with concurrent updates.
const MAX_EDITS: usize = 5;

/// Reads and updates service documents in the platform's store.
pub(super) struct DocumentWriter<'a> {
    state: &'a SharedState,
    platform: &'a PlatformClient,
}

impl<'a> DocumentWriter<'a> {
    /// Creates a writer.
    pub(super) const fn new(state: &'a SharedState, platform: &'a PlatformClient) -> Self {
        Self { state, platform }
    }

    /// Returns the latest text of a document, or the adopted one while the store
    /// is unavailable.
    pub(super) async fn read_text(
        &self,
        service: &ServiceId,
    ) -> Result<ServiceText, OperatorError> {
        match self.read_stored(service).await {
            Ok(Some(object)) => Ok(stored_text(service, &object)),
            Ok(None) => Err(no_service(service)),
            Err(error) => self.adopted_text(service).ok_or(error),
        }
    }

    /// Updates a document if the expected version is current.
    pub(super) async fn apply(
        &self,
        service: &ServiceId,
        update: &DocumentUpdate,
    ) -> Result<UpdateResult, OperatorError> {
        let document = check_document(service, &update.document)?;
        if let Some(result) = self.find_applied(service, update) {
            return Ok(result);
        }
        let object_update = ObjectUpdate {
            expected_version: update.expected_version,
            operation_id: update.operation_id.clone(),
            value: update.document.clone().into(),
        };
        let outcome = UpdateAttempt::new(self.platform, service, object_update);
        match outcome.run().await? {
            AttemptOutcome::Accepted {
                version,
                already_applied,
            } => {
                self.adopt(version, update, document);
                Ok(UpdateResult {
                    version,
                    already_applied,
                })
            }
            AttemptOutcome::Conflict {
                version,
                superseded,
            } => {
                log_refused(service, version);
                Err(self.conflict(service, update, version, superseded).await)
            }
        }
    }

    /// Withdraws a key of a customer.
    pub(super) async fn withdraw_key(
        &self,
        service: &ServiceId,
        withdrawal: &KeyWithdrawal,
    ) -> Result<UpdateResult, OperatorError> {
        let edit = |text: &str| remove_key(text, &withdrawal.customer, &withdrawal.digest);
        let result = self.edit(service, &withdrawal.operation_id, edit).await?;
        if result.already_applied && !self.is_current(service, &withdrawal.operation_id) {
            let customer = &withdrawal.customer;
            let message = format!("customer {customer} has no such key, or no longer");
            return Err(OperatorError::new(ErrorKind::NotFound, message));
        }
        Ok(result)
    }

    /// Edits the latest text of a document; retries the edit after a conflict with a
    /// concurrent update.
    pub(super) async fn edit(
        &self,
        service: &ServiceId,
        operation_id: &OperationId,
        edit: impl Fn(&str) -> Result<String, EditError>,
    ) -> Result<UpdateResult, OperatorError> {
        let mut last_conflict = None;
        for _ in 0..MAX_EDITS {
            let object = self.read_stored(service).await?;
            let object = object.ok_or_else(|| no_service(service))?;
            let text = object.value.as_str().unwrap_or_default();
            let edited = edit(text).map_err(|error| edit_error(&error))?;
            if edited == text || object.operation_id.as_ref() == Some(operation_id) {
                return Ok(self.adopt_applied(&object));
            }
            let update = DocumentUpdate {
                expected_version: object.version,
                operation_id: operation_id.clone(),
                document: edited,
            };
            match self.apply(service, &update).await {
                Err(error) if error.kind == ErrorKind::Conflict => last_conflict = Some(error),
                ended => return ended,
            }
        }
        Err(last_conflict.unwrap_or_else(platform_unavailable))
    }

    async fn read_stored(
        &self,
        service: &ServiceId,
    ) -> Result<Option<StoredObject>, OperatorError> {
        let found = self
            .platform
            .get_object(ObjectKind::Service, service.as_str())
            .await;
        found.map_err(|_| platform_unavailable())
    }

    /// Returns the result of an update that an earlier call has already applied.
    fn find_applied(&self, service: &ServiceId, update: &DocumentUpdate) -> Option<UpdateResult> {
        let adopted = self.state.read(|known| known.document(service).cloned())?;
        let is_applied = adopted.operation_id.as_ref() == Some(&update.operation_id);
        is_applied.then_some(UpdateResult {
            version: adopted.version,
            already_applied: true,
        })
    }

    fn adopt_applied(&self, object: &StoredObject) -> UpdateResult {
        let text = object.value.as_str().unwrap_or_default();
        let operation = object.operation_id.clone();
        if let Ok(document) = AdoptedDocument::parse(object.version, operation, text) {
            self.state.adopt(document);
        }
        UpdateResult {
            version: object.version,
            already_applied: true,
        }
    }

    fn is_current(&self, service: &ServiceId, operation_id: &OperationId) -> bool {
        let adopted = self.state.read(|known| known.document(service).cloned());
        adopted.is_some_and(|adopted| adopted.operation_id.as_ref() == Some(operation_id))
    }

    fn adopt(&self, version: DocumentVersion, update: &DocumentUpdate, document: ServiceDocument) {
        let service = &document.service;
        event::UPDATE_ACCEPTED.log(format_args!("service={service} version={version}"));
        self.state.adopt(AdoptedDocument {
            version,
            operation_id: Some(update.operation_id.clone()),
            text: update.document.clone(),
            document,
        });
    }

    fn adopted_text(&self, service: &ServiceId) -> Option<ServiceText> {
        let adopted = self.state.read(|known| known.document(service).cloned())?;
        Some(ServiceText {
            service: service.clone(),
            version: adopted.version,
            operation_id: adopted.operation_id?,
            document: adopted.text,
            from_store: false,
        })
    }

    /// Returns a conflict error with the differences between the current document
    /// and the expected one, or the submitted one if the expected one is no longer
    /// known.
    async fn conflict(
        &self,
        service: &ServiceId,
        update: &DocumentUpdate,
        version: DocumentVersion,
        superseded: bool,
    ) -> OperatorError {
        let stored = self.read_stored(service).await.ok().flatten();
        let text = stored.as_ref().and_then(|object| object.value.as_str());
        let in_force = text.and_then(|text| ServiceDocument::parse(text).ok());
        let adopted = self.state.read(|known| known.document(service).cloned());
        let expected = adopted.filter(|adopted| adopted.version == update.expected_version);
        let expected = expected.map(|adopted| adopted.document);
        let base = expected.or_else(|| ServiceDocument::parse(&update.document).ok());
        let differences = match (&base, &in_force) {
            (Some(base), Some(in_force)) => find_differences(base, in_force),
            _ => Vec::new(),
        };
        let changes = differences.iter().map(DocumentChange::from).collect();
        let mut error = OperatorError::conflict(version, changes);
        if superseded {
            error.message += "; this update may have been in force before it";
        }
        error
    }
}

fn check_document(service: &ServiceId, text: &str) -> Result<ServiceDocument, OperatorError> {
    let parsed = ServiceDocument::parse(text);
    let document = parsed.map_err(|findings| OperatorError::findings(&findings))?;
    if document.service == *service {
        return Ok(document);
    }
    let findings = Findings::new(vec![Finding {
        place: FindingPlace {
            key_path: "service".to_owned(),
            ..FindingPlace::default()
        },
        problem: format!("the document is of service {}", document.service),
        advice: format!("give {service}, as in the call"),
    }]);
    Err(OperatorError::findings(&findings))
}

fn stored_text(service: &ServiceId, object: &StoredObject) -> ServiceText {
    let operation_id = object.operation_id.clone();
    ServiceText {
        service: service.clone(),
        version: object.version,
        operation_id: operation_id.unwrap_or_else(unnamed_operation),
        document: object.value.as_str().unwrap_or_default().to_owned(),
        from_store: true,
    }
}

fn no_service(service: &ServiceId) -> OperatorError {
    OperatorError::new(ErrorKind::NotFound, format!("no service {service}"))
}

fn edit_error(error: &EditError) -> OperatorError {
    let kind = match error {
        EditError::NoCustomer(_) | EditError::NoTarget(_) => ErrorKind::NotFound,
        EditError::Unreadable => ErrorKind::Refused,
    };
    OperatorError::new(kind, error.to_string())
}

fn log_refused(service: &ServiceId, version: DocumentVersion) {
    event::UPDATE_REFUSED.log(format_args!(
        "service={service} reason=conflict in_force={version}"
    ));
}
