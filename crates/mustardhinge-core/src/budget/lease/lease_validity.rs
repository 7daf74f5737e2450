use crate::units::MonotonicTime;

/// Until when a holder may use its zone's share, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The epoch of the holder.
    pub epoch: u64,
    /// When the lease of the flexible part ends.
    pub flexible_until: MonotonicTime,
    /// When the lease of the floor ends; `None` if the holder does not have the floor.
    pub floor_until: Option<MonotonicTime>,
}
