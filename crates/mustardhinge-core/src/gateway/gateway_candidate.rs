use std::net::SocketAddr;

use crate::ids::{InstanceId, ZoneId};

/// An instance that can be chosen as a gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// The address at which it accepts forwarded statements.
    pub address: SocketAddr,
    /// Its relative share of the work, derived from its CPU capacity; 0 excludes the instance.
    pub weight: u16,
}
