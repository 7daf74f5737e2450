use mustardhinge_core::failover::FailoverEvent;

use super::SwitchoverCommand;

/// What the watch of a group is told.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// Something that the failover machine has to hear.
    Failover(FailoverEvent),
    /// An operator's order.
    Switchover(SwitchoverCommand),
    /// The place of this agent among the watchers has changed.
    Rank(u32),
}
