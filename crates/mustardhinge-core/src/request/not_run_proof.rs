use std::fmt;

use crate::outcome::RefusalReason;

/// A target's own word that a statement has not run and will not.
///
/// Can be made only from an SQLSTATE that says so.
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
    /// Reads the proof out of the SQLSTATE of a target's error answer to the
    /// whole request, a single statement or a transaction that this error
    /// ended; `None` if the code proves nothing.
    ///
    /// Codes of a shutdown in progress prove nothing: the server may send them
    /// to a session whose commit it has just made.
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

    /// Returns the reason for which the caller is refused.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        match self.0 {
            ProofKind::ReadOnlyServer => RefusalReason::NoPrimary,
            ProofKind::TooManyConnections | ProofKind::ShuttingDown => RefusalReason::NoTarget,
            ProofKind::SerializationFailure | ProofKind::Deadlock => RefusalReason::QueueFull,
        }
    }

    /// Returns the label value of the proof.
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
