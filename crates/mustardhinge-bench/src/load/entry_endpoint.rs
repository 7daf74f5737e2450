use std::net::SocketAddr;

use mustardhinge_core::prelude::*;

/// Where callers reach one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryEndpoint {
    /// The instance.
    pub instance: InstanceId,
    /// The address, as callers see it.
    pub address: SocketAddr,
}
