use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An availability zone's finding that the store is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreOutage {
    /// The availability zone.
    pub zone: ZoneId,
    /// How long ago the failed call was begun, in milliseconds at the moment of
    /// the answer.
    pub age_ms: u32,
    /// The greatest revision of the store that the zone knows.
    pub store_revision: u64,
}
