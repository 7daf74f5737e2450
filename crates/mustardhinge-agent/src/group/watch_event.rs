use mustardhinge_core::failover::FailoverEvent;

use super::SwitchoverCommand;

/// An event that a group watch handles.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// An event for the failover machine.
    Failover(FailoverEvent),
    /// A switchover requested by an operator.
    Switchover(SwitchoverCommand),
    /// The rank of this agent among the watchers has changed.
    Rank(u32),
}
