use crate::units::MonotonicTime;

/// A zone's response that it can't reach the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageEvidence {
    /// When the request was sent to the zone, by the requester's clock.
    pub requested_at: MonotonicTime,
    /// The highest store revision that the zone knows.
    pub known_revision: u64,
}
