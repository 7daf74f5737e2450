use crate::outcome::RetryDelay;

/// Whether a request is within the customer's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is; it has been counted.
    Admitted,
    /// Unknown as yet: ledgers have to be asked first.
    NeedsGrant,
    /// It is not: every ledger that answers has said so.
    Refused {
        /// When budget will be there.
        retry_after: RetryDelay,
    },
}
