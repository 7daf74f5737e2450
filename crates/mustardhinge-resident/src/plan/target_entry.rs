use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use mustardhinge_core::prelude::{ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::adapter::ServerRole;

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The number of times that the server wrote this entry; 0 if the platform doesn't count them.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sequence: u64,
    /// The time in milliseconds for which the target remains slow after its start.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_left_ms: u64,
    /// Whether the sending instance keeps the target although no list of the present era of the
    /// store had it. Set between instances only.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_missing: bool,
}

impl TargetEntry {
    /// Returns whether the target announces that it is slow after its start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.cold_left_ms > 0
    }

    /// Returns whether both entries are the same except for their sequence and the time for which the
    /// target remains slow, which change with each heartbeat, and whether the target is missing.
    #[must_use]
    pub fn has_same_state(&self, other: &Self) -> bool {
        let Self {
            target,
            service,
            address,
            zone,
            slots,
            is_leaving,
            role,
            born_ms,
            sequence: _,
            cold_left_ms: _,
            is_missing: _,
        } = self;
        (target, service, address, zone)
            == (&other.target, &other.service, &other.address, &other.zone)
            && (slots, is_leaving, role, born_ms)
                == (&other.slots, &other.is_leaving, &other.role, &other.born_ms)
    }
}

/// Hashes the state, whether the target is cold, and whether it is missing. The sequence and the
/// length of the cold time change with each heartbeat and must not change the digest of the list.
impl Hash for TargetEntry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.target.hash(state);
        self.service.hash(state);
        self.address.hash(state);
        self.zone.hash(state);
        self.slots.hash(state);
        self.is_leaving.hash(state);
        self.role.hash(state);
        self.born_ms.hash(state);
        self.is_cold().hash(state);
        self.is_missing.hash(state);
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}
