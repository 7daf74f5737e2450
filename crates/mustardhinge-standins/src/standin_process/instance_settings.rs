use std::net::SocketAddr;

use serde::Deserialize;

use crate::platform::{InstanceEntry, InstanceState};

/// An instance in the list at the start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its agent listens.
    pub agent_address: SocketAddr,
}

impl From<InstanceSettings> for InstanceEntry {
    fn from(settings: InstanceSettings) -> Self {
        Self {
            instance: settings.name,
            zone: settings.zone,
            agent_address: settings.agent_address,
            state: InstanceState::Live,
        }
    }
}
