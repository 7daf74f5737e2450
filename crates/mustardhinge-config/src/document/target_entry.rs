use std::net::SocketAddr;

use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::reader::TableReader;
use crate::settings::check_address;

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

impl TargetEntry {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let name = reader.text("name", "give the target's name");
        let zone = reader.text("zone", "give the availability zone it stands in");
        let address = reader.text("address", "give an IP number and a port: 10.0.1.7:5432");
        if let Some(address) = address {
            check_address(reader, "address", address);
        }
        let leaving = reader.flag("leaving");
        Some(Self {
            name: name?,
            zone: zone?,
            address: address?,
            leaving,
        })
    }
}
