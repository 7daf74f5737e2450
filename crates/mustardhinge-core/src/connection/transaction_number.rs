/// Identifies an idle transaction among those of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionNumber(u64);

impl TransactionNumber {
    /// Returns the number and replaces it with the next one.
    pub(super) const fn allocate(&mut self) -> Self {
        let number = *self;
        self.0 += 1;
        number
    }
}
