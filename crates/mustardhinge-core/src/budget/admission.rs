use crate::outcome::RetryDelay;

/// The result of checking a request against the customer's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the limit and has been counted.
    Admitted,
    /// The entry holds too little budget and has to request a grant first.
    NeedsGrant,
    /// The request exceeds the limit according to every ledger that responds.
    Refused {
        /// The time until budget is expected to be available.
        retry_after: RetryDelay,
    },
}
