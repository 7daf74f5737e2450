use crate::target::TargetLease;

/// Transaction state of a caller.
#[derive(Debug, Default)]
pub enum CallerTransaction {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open on this connection, which it uses exclusively.
    Open(Box<TargetLease>),
    /// A statement failed on this connection; the target rejects statements until
    /// the transaction ends.
    Failed(Box<TargetLease>),
    /// The connection of the transaction was lost; none of its changes were
    /// committed.
    Lost,
}

impl CallerTransaction {
    /// Returns whether the caller is inside a transaction.
    #[must_use]
    pub fn is_inside(&self) -> bool {
        !matches!(self, Self::Idle)
    }
}
