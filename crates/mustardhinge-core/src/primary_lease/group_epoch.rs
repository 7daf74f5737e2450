use crate::units::count_unit;

count_unit! {
    /// Counts the primaries that a group has had under the duty; a greater epoch replaces
    /// a smaller one.
    GroupEpoch, "an epoch number"
}
