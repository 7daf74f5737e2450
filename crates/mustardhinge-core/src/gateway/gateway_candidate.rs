use std::net::SocketAddr;

use crate::ids::{InstanceId, ZoneId};

/// An instance that could be a gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// Where it takes forwarded statements.
    pub address: SocketAddr,
    /// Its share of the work in relation to the others, from its processor; 0 takes none.
    pub weight: u16,
}
