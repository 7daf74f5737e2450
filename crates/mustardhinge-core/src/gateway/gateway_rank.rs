/// Percentage of a target's connections that its first gateway may use.
const FIRST_PERCENT: usize = 60;
/// Percentage that its second gateway may use while the first is unreachable.
const SECOND_PERCENT: usize = 20;
/// Percentage that all other instances share when they can reach neither gateway. The rest is
/// reserved for control and for connections of dead processes that the target still counts.
const OTHER_PERCENT: usize = 8;

/// The role of an instance for a target that has gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayRank {
    /// The gateway that holds the connections.
    First,
    /// The gateway that replaces the first while that is unreachable.
    Second,
    /// An instance that forwards statements to the gateways.
    Other,
}

impl GatewayRank {
    /// Returns how many of the target's `connection_limit` connections an instance of this rank
    /// may use, at least 1.
    #[must_use]
    pub fn connections(self, connection_limit: usize, instances: usize) -> usize {
        let own = match self {
            Self::First => connection_limit * FIRST_PERCENT / 100,
            Self::Second => connection_limit * SECOND_PERCENT / 100,
            Self::Other => connection_limit * OTHER_PERCENT / 100 / instances.max(1),
        };
        own.max(1)
    }
}
