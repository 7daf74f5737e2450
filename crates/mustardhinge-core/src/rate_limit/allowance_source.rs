use super::BucketGeneration;

/// What an admitted operation was counted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceSource {
    /// The allowance that the leader granted.
    Grant,
    /// The instance's own share of the rate, without a leader.
    IsolatedShare {
        /// The bucket that admitted the operation.
        bucket: BucketGeneration,
    },
}
