use std::time::Duration;

/// One target that could run a statement, as the placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate {
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it is in this instance's availability zone.
    pub is_same_zone: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it failed to answer and has not answered since.
    pub is_failing: bool,
    /// Whether it said lately that it lacks the position asked for.
    pub lacks_position: bool,
    /// Whether it is known to be too far behind for the read.
    pub is_too_stale: bool,
    /// This instance's statements that it is working on, or that wait for it here.
    pub in_flight: usize,
    /// How many statements it runs at once.
    pub slots: usize,
    /// Its usual answer time.
    pub typical_latency: Duration,
    /// Whether a connection for the customer lies idle.
    pub has_connection: bool,
}
