use crate::target::TargetLease;

/// The transaction that a caller has open.
#[derive(Debug, Default)]
pub enum CallerTransaction {
    /// None.
    #[default]
    Idle,
    /// One on this connection, which no other transaction uses meanwhile.
    Open(Box<TargetLease>),
    /// One that failed on this connection: the target waits for its end.
    Failed(Box<TargetLease>),
    /// One whose connection is gone; nothing of it was kept.
    Lost,
}

impl CallerTransaction {
    /// Tells whether the caller is inside a transaction.
    #[must_use]
    pub fn is_inside(&self) -> bool {
        !matches!(self, Self::Idle)
    }
}
