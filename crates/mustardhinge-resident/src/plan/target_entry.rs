use std::net::SocketAddr;

use mustardhinge_core::prelude::{ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::adapter::ServerRole;

/// One target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many statements it runs at once.
    pub slots: usize,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// The role that it says it has.
    pub role: ServerRole,
    /// When this life of it began, in milliseconds since 1970; a new life holds nothing
    /// of the one before.
    pub born_ms: u64,
}
