use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The delays of a forwarder, one way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardDelays {
    /// The delay for callers that are not named.
    pub default_delay: Duration,
    /// The delays for callers by their IP numbers.
    pub peer_delays: BTreeMap<IpAddr, Duration>,
}

impl ForwardDelays {
    /// Returns the delay for the caller `peer`.
    #[must_use]
    pub fn delay_of(&self, peer: IpAddr) -> Duration {
        let delay = self.peer_delays.get(&peer);
        delay.copied().unwrap_or(self.default_delay)
    }
}
