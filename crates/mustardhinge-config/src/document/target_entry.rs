use std::net::SocketAddr;

use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One database server of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// The name of the target.
    pub name: TargetId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where it listens, by IP number.
    pub address: SocketAddr,
    /// Whether its operators have asked that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}
