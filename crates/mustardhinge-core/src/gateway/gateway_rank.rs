/// Percent of a target's connections that its first gateway may have.
const FIRST_PERCENT: usize = 60;
/// Percent that its second gateway may have, for the time that the first can't be reached.
const SECOND_PERCENT: usize = 20;
/// Percent that all others share when they reach neither. The rest stays free for control, and
/// for connections of dead processes that the target still counts.
const OTHER_PERCENT: usize = 8;

/// What an instance is to a target that has gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayRank {
    /// It keeps the connections.
    First,
    /// It stands in for the first.
    Second,
    /// It forwards.
    Other,
}

impl GatewayRank {
    /// Returns the connections that it may have, out of `connection_limit` that the target takes; at least
    /// one.
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
