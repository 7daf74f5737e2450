/// An error from dividing a target's connection limit among instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// There are fewer connections than instances.
    #[error("{connections} connections can't be shared by {instances} instances: each needs one")]
    TooFewConnections {
        /// The number of connections available to the instances.
        connections: u32,
        /// The number of instances that share them.
        instances: u32,
    },
    /// The number of instances is 0.
    #[error("the number of instances is 0")]
    NoInstances,
}
