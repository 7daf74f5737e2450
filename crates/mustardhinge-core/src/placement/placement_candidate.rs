use std::time::Duration;

/// A target that can run a statement, with the properties that placement compares.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate {
    /// Whether the target is the primary.
    pub is_primary: bool,
    /// Whether the target is in this instance's availability zone.
    pub is_same_zone: bool,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Whether the target failed to respond and has not responded since.
    pub is_failing: bool,
    /// Whether the target recently reported that it had not applied a requested log position.
    pub lacks_position: bool,
    /// Whether the target is known to lag by more than the read allows.
    pub is_too_stale: bool,
    /// The number of this instance's statements that run on the target or are queued for it here.
    pub in_flight: usize,
    /// The number of statements that the target runs concurrently.
    pub slots: usize,
    /// The typical time of a response.
    pub typical_latency: Duration,
    /// Whether an idle connection for the customer is available.
    pub has_connection: bool,
}
