use crate::units::count_unit;

count_unit! {
    /// The number of a primary of a group under leader-granted leases; a higher epoch replaces
    /// a lower one.
    GroupEpoch, "an epoch number"
}
