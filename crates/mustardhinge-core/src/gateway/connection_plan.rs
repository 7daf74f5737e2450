/// One connection in this many is kept for control and for processes that start again while the
/// target still counts those of the dead ones.
const RESERVED_DIVISOR: usize = 4;
/// An instance with a connection for every fourth customer finds most of them open: a few large
/// customers send most statements.
const CUSTOMERS_PER_CONNECTION: usize = 4;

/// Whether instances keep connections to a target themselves, or forward to gateways.
///
/// Load pattern: a connection belongs to one customer, and opening one costs as much of a
/// target's slot as a statement. Where each instance has less than one connection, nearly every
/// request opens one, and the target turns the rest away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// Each instance has enough connections of its own.
    Direct,
    /// Few instances keep the connections, and the others forward to them.
    Gateways,
}

impl ConnectionPlan {
    /// Decides for targets that take `connection_limit` connections, from `instances` on behalf of
    /// `customers`.
    #[must_use]
    pub const fn decide(connection_limit: usize, instances: usize, customers: usize) -> Self {
        let shared = connection_limit - connection_limit / RESERVED_DIVISOR;
        if instances <= 1 || shared * CUSTOMERS_PER_CONNECTION >= customers * instances {
            Self::Direct
        } else {
            Self::Gateways
        }
    }
}
