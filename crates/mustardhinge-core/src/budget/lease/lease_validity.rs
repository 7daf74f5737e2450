use crate::units::MonotonicTime;

/// What a holder may use of its zone's share, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The epoch of the holder.
    pub epoch: u64,
    /// The end of the lease of the flexible part.
    pub flexible_until: MonotonicTime,
    /// The end of the lease of the floor, if the holder has it.
    pub floor_until: Option<MonotonicTime>,
}
