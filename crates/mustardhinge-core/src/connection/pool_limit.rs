use super::LimitError;

/// Limits on the connections and concurrent statements of one instance at one target.
///
/// Each instance gets the same share, rounded down. The sum over `max_instances`
/// never exceeds the target's limit, even while instances disagree about the
/// list of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimit {
    connections: u32,
    slots: u32,
}

impl PoolLimit {
    /// Connections of a target that are reserved for the agents' reports and calls.
    pub const CONTROL_CONNECTIONS: u32 = 4;

    /// Divides a target's limits among `max_instances`.
    ///
    /// An instance always gets at least one slot: slots are not a hard limit, as
    /// the target queues statements that exceed them.
    ///
    /// # Errors
    ///
    /// Returns an error if `max_instances` is 0 or there is less than one
    /// connection per instance.
    pub fn new(
        connections_per_target: u32,
        slots_per_target: u32,
        max_instances: u32,
    ) -> Result<Self, LimitError> {
        if max_instances == 0 {
            return Err(LimitError::NoInstances);
        }
        let shared = connections_per_target.saturating_sub(Self::CONTROL_CONNECTIONS);
        let connections = shared / max_instances;
        if connections == 0 {
            return Err(LimitError::TooFewConnections {
                connections: shared,
                instances: max_instances,
            });
        }
        let slots = (slots_per_target / max_instances).max(1);
        Ok(Self {
            connections,
            slots: slots.min(connections),
        })
    }

    /// Returns the maximum number of open connections.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns the maximum number of concurrent statements.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }
}
