use std::net::SocketAddr;

use mustardhinge_core::prelude::LeaderTerm;

/// The primary that a replica follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryLink {
    /// The term of the primary.
    pub term: LeaderTerm,
    /// The name of the primary.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}
