use mustardhinge_core::prelude::*;

/// Why a document could not be changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The document has no such customer.
    #[error("no customer {0}")]
    NoCustomer(CustomerId),
    /// The document has no such target.
    #[error("no target {0}")]
    NoTarget(TargetId),
    /// The text can't be read.
    #[error("the document in force is not readable TOML")]
    Unreadable,
}
