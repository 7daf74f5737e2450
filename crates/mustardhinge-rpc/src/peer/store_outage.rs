use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An availability zone's finding that the store is unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreOutage {
    /// The availability zone.
    pub zone: ZoneId,
    /// The time from the start of the failed call to the arrival of the request, in
    /// milliseconds; 0 if the call started after the request arrived.
    pub age_ms: u32,
    /// The highest store revision known to the zone.
    pub store_revision: u64,
}
