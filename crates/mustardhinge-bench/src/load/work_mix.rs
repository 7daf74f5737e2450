/// The weights of the kinds of operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkMix {
    /// Keyed confirmations.
    pub confirmations: u32,
    /// Orders that may not be repeated.
    pub orders: u32,
    /// Reassignments in transactions.
    pub reassignments: u32,
    /// Reads of the newest rows.
    pub newest_reads: u32,
    /// Reads that accept a stated age.
    pub aged_reads: u32,
    /// Reads on open routes.
    pub open_reads: u32,
}

impl WorkMix {
    /// Returns the sum of the weights.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.confirmations
            + self.orders
            + self.reassignments
            + self.newest_reads
            + self.aged_reads
            + self.open_reads
    }
}
