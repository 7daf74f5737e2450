use super::LimitError;

/// The connections and statements that one instance may have at one target.
///
/// Each instance takes the same share, rounded down, so that the sum over
/// `max_instances` of them never exceeds the target's limit, whatever list of
/// instances is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimit {
    connections: u32,
    slots: u32,
}

impl PoolLimit {
    /// The connections of a target kept for the agents' reports and calls.
    pub const CONTROL_CONNECTIONS: u32 = 4;

    /// Shares a target's limits out over `max_instances`.
    ///
    /// Slots have no hard limit at the target, where statements beyond them
    /// wait; an instance always gets one.
    ///
    /// # Errors
    ///
    /// Fails if there is not one connection for each instance.
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

    /// Returns the connections that the instance may have open.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns the statements that the instance may run at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }
}
