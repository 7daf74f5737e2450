use super::SettlementStep;
use crate::ids::OperationId;
use crate::units::DocumentVersion;

/// Settles one conditional update, although answers may be lost after the change
/// took effect.
///
/// All attempts carry the same condition and operation id, so that at most one
/// of them takes effect.
#[derive(Clone, Debug)]
pub struct UpdateSettlement {
    operation: OperationId,
    expected: DocumentVersion,
    answer_was_lost: bool,
}

impl UpdateSettlement {
    /// Starts an update of the object that must have the version `expected`.
    #[must_use]
    pub const fn new(operation: OperationId, expected: DocumentVersion) -> Self {
        Self {
            operation,
            expected,
            answer_was_lost: false,
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
    pub const fn on_accepted(&self, version: DocumentVersion) -> SettlementStep {
        SettlementStep::Accepted { version }
    }

    /// Takes the store's answer that the version in force is another one.
    #[must_use]
    pub fn on_conflict(&self, version: DocumentVersion, operation: OperationId) -> SettlementStep {
        self.judge_newer(version, operation)
    }

    /// Takes note that an attempt got no answer; it may still take effect.
    #[must_use]
    pub fn on_lost(&mut self) -> SettlementStep {
        self.answer_was_lost = true;
        SettlementStep::Read
    }

    /// Takes the answer to a read, which may be an old one.
    #[must_use]
    pub fn on_read(&self, found: Option<(DocumentVersion, OperationId)>) -> SettlementStep {
        match found {
            Some((version, operation)) if version > self.expected => {
                self.judge_newer(version, operation)
            }
            _ => SettlementStep::Send,
        }
    }

    fn judge_newer(&self, version: DocumentVersion, operation: OperationId) -> SettlementStep {
        if operation == self.operation {
            return SettlementStep::Accepted { version };
        }
        if self.answer_was_lost {
            return SettlementStep::Superseded { version, operation };
        }
        SettlementStep::Conflict { version, operation }
    }
}
