use super::UpdateStep;
use crate::ids::OperationId;
use crate::units::DocumentVersion;

/// A conditional update whose outcome is determined even if responses are lost.
///
/// A response may be lost after the update took effect. All attempts carry the same
/// condition and operation id, so that at most one of them takes effect.
#[derive(Clone, Debug)]
pub struct ConditionalUpdate {
    operation: OperationId,
    expected: DocumentVersion,
    response_lost: bool,
}

impl ConditionalUpdate {
    /// Creates an update that applies only if the object has the version `expected`.
    #[must_use]
    pub const fn new(operation: OperationId, expected: DocumentVersion) -> Self {
        Self {
            operation,
            expected,
            response_lost: false,
        }
    }

    /// Returns the operation id of all attempts.
    #[must_use]
    pub const fn get_operation(&self) -> &OperationId {
        &self.operation
    }

    /// Returns the version that all attempts expect.
    #[must_use]
    pub const fn get_expected(&self) -> DocumentVersion {
        self.expected
    }

    /// Handles the store's response that an attempt took effect.
    #[must_use]
    pub const fn on_accepted(&self, version: DocumentVersion) -> UpdateStep {
        UpdateStep::Accepted { version }
    }

    /// Handles the store's response that a different version is in force.
    #[must_use]
    pub fn on_conflict(&self, version: DocumentVersion, operation: OperationId) -> UpdateStep {
        self.classify_newer(version, operation)
    }

    /// Handles an attempt without a response, which may still take effect.
    #[must_use]
    pub fn on_response_lost(&mut self) -> UpdateStep {
        self.response_lost = true;
        UpdateStep::Read
    }

    /// Handles the response to a read, which may be stale.
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
