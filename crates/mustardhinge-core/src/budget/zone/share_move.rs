use crate::budget::ShareFraction;
use crate::ids::{CustomerId, ZoneId};

/// A move of a flexible part of a customer's share from one zone to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareMove {
    /// The customer.
    pub customer: CustomerId,
    /// The source zone.
    pub from: ZoneId,
    /// The destination zone.
    pub to: ZoneId,
    /// The fraction of the customer's rate and burst that moves.
    pub fraction: ShareFraction,
}
