/// One in this many connections is assigned to no instance. Control connections use a few, and
/// processes that restart after a power loss need some while the target still counts the
/// connections of the dead processes.
const RESERVED_DIVISOR: usize = 4;

/// One instance's share of the connections to a target.
///
/// Part of the connections is reserved, the rest is divided evenly among the instances. The
/// remainder goes to the first instances by index: where there are fewer connections than
/// customers, one more connection saves many reconnects. While instances join and leave, two of
/// them may assume the same index; the target then refuses the extra connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// The number of connections that the target accepts in total.
    pub connection_limit: usize,
    /// The number of instances that share the connections.
    pub instances: usize,
    /// This instance's index among them, starting at 0; `None` while unknown.
    pub index: Option<usize>,
}

impl ConnectionShare {
    /// Returns the number of connections for this instance, at least 1.
    #[must_use]
    pub fn connections(&self) -> usize {
        let shared = self.connection_limit - self.connection_limit / RESERVED_DIVISOR;
        let instances = self.instances.max(1);
        let has_extra = self.index.is_some_and(|index| index < shared % instances);
        (shared / instances + usize::from(has_extra)).max(1)
    }
}
