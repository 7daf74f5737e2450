use crate::units::count_unit;

count_unit! {
    /// The number of times that the platform's store was restored from an older copy.
    StoreEra, "an era number"
}

/// Bits of a fence or an epoch that count within one era: more than a store has revisions, and few
/// enough that the numbers of 8,000 eras stay exact in JSON parsers that use floating point.
const COUNTER_BITS: u32 = 40;

impl StoreEra {
    /// Highest valid era. Fences and epochs of higher ones would not fit their type.
    pub const MAX: Self = Self::new(1 << 20);

    /// Returns a number that fences and epochs of earlier eras don't reach.
    ///
    /// An instance that was started after a restore has seen none of the lost fences and epochs;
    /// with numbers from here on it can't repeat one.
    #[must_use]
    pub const fn counter_floor(self) -> u64 {
        self.get().saturating_mul(1 << COUNTER_BITS)
    }
}
