/// A change of an instance's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// A leadership began. The state of an earlier one doesn't apply to it.
    Gained,
    /// The record was renewed too late. The instance grants nothing until the next renewal.
    Suspended,
    /// The record was renewed before another instance claimed it. The state of the leadership still
    /// applies, with the leases that were granted under it.
    Resumed,
    /// Another instance is the leader, or this one has left the election.
    Lost,
}
