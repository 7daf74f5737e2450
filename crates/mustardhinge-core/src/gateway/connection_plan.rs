/// One in this many connections is reserved for control and for processes that restart while the
/// target still counts the connections of the dead processes.
const RESERVED_DIVISOR: usize = 4;
/// An instance with a connection for every fourth customer usually finds one open, because a few
/// large customers send most statements.
const CUSTOMERS_PER_CONNECTION: usize = 4;

/// Whether instances connect to targets directly or forward statements to gateways.
///
/// Load pattern: a connection belongs to one customer, and opening one occupies a target's slot
/// for as long as a statement. Where each instance has less than one connection, nearly every
/// request opens one, and the target refuses the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// Each instance has enough connections and uses its own.
    Direct,
    /// A few instances hold the connections, and the others forward statements to them.
    Gateways,
}

impl ConnectionPlan {
    /// Chooses the plan for `instances` that serve `customers` at targets that accept
    /// `connection_limit` connections each.
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
