use std::net::SocketAddr;

use mustardhinge_core::prelude::{ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::adapter::ServerRole;

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is about to be removed.
    pub is_leaving: bool,
    /// The role listed for it.
    pub role: ServerRole,
    /// Start time of its process in Unix milliseconds. A new process retains nothing of the
    /// previous one.
    pub born_ms: u64,
}
