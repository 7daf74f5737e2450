use crate::ids::{CustomerId, ZoneId};

/// Why a record of shares is not usable, or a change of it not possible.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The shares of the zones are together more than the whole.
    #[error("the zones' shares of customers that are not named sum to more than the whole")]
    ExceedsWhole,
    /// The shares of the zones are together more than the whole for a customer.
    #[error("the zones' shares of customer {customer} sum to more than the whole")]
    CustomerExceedsWhole {
        /// The customer.
        customer: CustomerId,
    },
    /// The record has no such zone.
    #[error("zone {zone} has no share")]
    UnknownZone {
        /// The zone.
        zone: ZoneId,
    },
    /// The zone that gives has less than was asked for.
    #[error("zone {zone} has a smaller flexible share of customer {customer}")]
    ShareTooSmall {
        /// The zone.
        zone: ZoneId,
        /// The customer.
        customer: CustomerId,
    },
}
