/// The reason why a target's limit can't be shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// There are more instances than connections.
    #[error("{connections} connections can't be shared by {instances} instances: each needs one")]
    TooFewConnections {
        /// The connections of a target.
        connections: u32,
        /// The instances that share them.
        instances: u32,
    },
    /// No instance was counted.
    #[error("the number of instances is 0")]
    NoInstances,
}
