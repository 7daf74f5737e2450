use crate::budget::ShareFraction;
use crate::ids::{CustomerId, ZoneId};

/// A flexible part of a customer's share that one zone gives to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareMove {
    /// The customer.
    pub customer: CustomerId,
    /// The zone that gives.
    pub from: ZoneId,
    /// The zone that gets.
    pub to: ZoneId,
    /// How much.
    pub fraction: ShareFraction,
}
