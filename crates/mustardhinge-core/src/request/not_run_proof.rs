use std::fmt;

use crate::outcome::RefusalReason;

/// Proof from the target that a statement did not run and never will.
///
/// Can be created only from an SQLSTATE that guarantees this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NotRunProof(ProofKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ProofKind {
    ReadOnlyServer,
    TooManyConnections,
    SerializationFailure,
    Deadlock,
    ShuttingDown,
}

impl NotRunProof {
    /// Derives the proof from the SQLSTATE of an error response, or returns `None` if
    /// the code proves nothing.
    ///
    /// The error must answer the whole request: a single statement, or a transaction
    /// that the error aborted.
    ///
    /// Codes of a shutdown in progress prove nothing, because the server may send them
    /// to a session whose transaction it has just committed.
    #[must_use]
    pub fn from_sqlstate(code: &str) -> Option<Self> {
        let kind = match code {
            "25006" => ProofKind::ReadOnlyServer,
            "53300" => ProofKind::TooManyConnections,
            "40001" => ProofKind::SerializationFailure,
            "40P01" => ProofKind::Deadlock,
            "57P03" => ProofKind::ShuttingDown,
            _ => return None,
        };
        Some(Self(kind))
    }

    /// Returns the refusal reason to report to the caller.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        match self.0 {
            ProofKind::ReadOnlyServer => RefusalReason::NoPrimary,
            ProofKind::TooManyConnections | ProofKind::ShuttingDown => RefusalReason::NoTarget,
            ProofKind::SerializationFailure | ProofKind::Deadlock => RefusalReason::QueueFull,
        }
    }

    /// Returns the value of the metric label for this proof.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self.0 {
            ProofKind::ReadOnlyServer => "read_only_server",
            ProofKind::TooManyConnections => "too_many_connections",
            ProofKind::SerializationFailure => "serialization_failure",
            ProofKind::Deadlock => "deadlock",
            ProofKind::ShuttingDown => "cannot_connect_now",
        }
    }
}

impl fmt::Display for NotRunProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
