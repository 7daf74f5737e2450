use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::ShareFraction;
use crate::ids::CustomerId;

/// A zone's share of the rates and bursts of a service's customers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneShare {
    /// The epoch of the lease under which the share was last claimed.
    pub epoch: u64,
    /// The part that never moves, the same for every customer.
    pub floor: ShareFraction,
    /// The part that can move with demand, for customers without an entry in `moved`.
    pub flexible: ShareFraction,
    /// The part that can move with demand, for customers for whom it has moved.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub moved: BTreeMap<CustomerId, ShareFraction>,
}

impl ZoneShare {
    /// Returns the flexible part of a customer.
    #[must_use]
    pub fn flexible_of(&self, customer: &CustomerId) -> ShareFraction {
        self.moved.get(customer).copied().unwrap_or(self.flexible)
    }
}
