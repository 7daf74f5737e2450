use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An availability zone's finding that the store is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreOutage {
    /// The availability zone.
    pub zone: ZoneId,
    /// How long before the question arrived the failed call was begun, in
    /// milliseconds; 0 if it was begun later.
    pub age_ms: u32,
    /// The greatest revision of the store that the zone knows.
    pub store_revision: u64,
}
