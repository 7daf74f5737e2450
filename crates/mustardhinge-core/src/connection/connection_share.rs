/// One connection in this many is given to no instance: control needs a few, and processes that
/// start again after a loss of power need some while the target still counts the dead ones'.
const RESERVED_DIVISOR: usize = 4;

/// The connections to one target that one instance may have, out of those that all instances
/// share.
///
/// The remainder of the division goes to the first instances, since a connection more saves
/// many openings where there are fewer connections than customers. A part is left over. While instances come and
/// go, two may think that they have the same place; the target then turns one away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Connections that the target takes from all callers.
    pub connection_limit: usize,
    /// The instances that share the rest.
    pub instances: usize,
    /// This instance's place among them, counted from 0; none while it is not known.
    pub index: Option<usize>,
}

impl ConnectionShare {
    /// Returns the connections of this instance; at least one.
    #[must_use]
    pub fn connections(&self) -> usize {
        let shared = self.connection_limit - self.connection_limit / RESERVED_DIVISOR;
        let instances = self.instances.max(1);
        let has_extra = self.index.is_some_and(|index| index < shared % instances);
        (shared / instances + usize::from(has_extra)).max(1)
    }
}
