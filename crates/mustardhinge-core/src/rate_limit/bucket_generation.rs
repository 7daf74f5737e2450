/// Number of the bucket of an isolated instance, raised by each grant, which ends the bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketGeneration(u64);

impl BucketGeneration {
    /// The generation of the first bucket.
    pub(super) const FIRST: Self = Self(0);

    /// Returns the generation of the next bucket.
    pub(super) const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}
