use super::UpdateStep;
use crate::ids::OperationId;
use crate::units::DocumentVersion;

/// Settles one conditional update, although answers may be lost after the change
/// took effect.
///
/// All attempts carry the same condition and operation id, so that at most one
/// of them takes effect.
#[derive(Clone, Debug)]
pub struct ConditionalUpdate {
    operation: OperationId,
    expected: DocumentVersion,
    response_lost: bool,
}

impl ConditionalUpdate {
    /// Starts an update of the object that must have the version `expected`.
    #[must_use]
    pub const fn new(operation: OperationId, expected: DocumentVersion) -> Self {
        Self {
            operation,
            expected,
            response_lost: false,
        }
    }

    /// Returns the operation id that each attempt carries.
    #[must_use]
    pub const fn get_operation(&self) -> &OperationId {
        &self.operation
    }

    /// Returns the version that each attempt expects.
    #[must_use]
    pub const fn get_expected(&self) -> DocumentVersion {
        self.expected
    }

    /// Takes the store's answer that an attempt took effect.
    #[must_use]
    pub const fn on_accepted(&self, version: DocumentVersion) -> UpdateStep {
        UpdateStep::Accepted { version }
    }

    /// Takes the store's answer that the version in force is another one.
    #[must_use]
    pub fn on_conflict(&self, version: DocumentVersion, operation: OperationId) -> UpdateStep {
        self.classify_newer(version, operation)
    }

    /// Takes note that an attempt got no answer; it may still take effect.
    #[must_use]
    pub fn on_response_lost(&mut self) -> UpdateStep {
        self.response_lost = true;
        UpdateStep::Read
    }

    /// Takes the answer to a read, which may be an old one.
    #[must_use]
    pub fn on_read(&self, found: Option<(DocumentVersion, OperationId)>) -> UpdateStep {
        match found {
            Some((version, operation)) if version > self.expected => {
                self.classify_newer(version, operation)
            }
            _ => UpdateStep::Send,
        }
    }

    fn classify_newer(&self, version: DocumentVersion, operation: OperationId) -> UpdateStep {
        if operation == self.operation {
            return UpdateStep::Accepted { version };
        }
        if self.response_lost {
            return UpdateStep::Superseded { version, operation };
        }
        UpdateStep::Conflict { version, operation }
    }
}
