use crate::ids::{CustomerId, ZoneId};

/// An invalid budget record, or an invalid change of one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The zones' default shares, for customers without an entry of their own, sum to more
    /// than the whole. `BudgetRecord::moved` also returns this error if a move in an
    /// unchecked record raises a customer's flexible share in a zone above the whole.
    #[error(
        "the zones' default shares, for customers without an entry of their own, \
         sum to more than the whole"
    )]
    ExceedsWhole,
    /// The shares of the zones sum to more than the whole for one customer.
    #[error("the zones' shares of customer {customer} sum to more than the whole")]
    CustomerExceedsWhole {
        /// The customer.
        customer: CustomerId,
    },
    /// The record does not contain the zone.
    #[error("zone {zone} has no share")]
    UnknownZone {
        /// The zone.
        zone: ZoneId,
    },
    /// The flexible part of the source zone is smaller than the move.
    #[error("the move exceeds the flexible share of customer {customer} in zone {zone}")]
    ShareTooSmall {
        /// The zone.
        zone: ZoneId,
        /// The customer.
        customer: CustomerId,
    },
}
