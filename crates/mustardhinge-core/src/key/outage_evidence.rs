use crate::units::MonotonicTime;

/// A zone's answer that it can't reach the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageEvidence {
    /// When the question was sent to the zone, by the asker's clock.
    pub requested_at: MonotonicTime,
    /// The greatest store revision that the zone knows.
    pub known_revision: u64,
}
