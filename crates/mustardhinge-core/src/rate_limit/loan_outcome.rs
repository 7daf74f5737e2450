/// The outcome of a message to a share pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanOutcome {
    /// The pool has answered.
    Answered {
        /// The number of operations that it has lent.
        lent: u32,
        /// The number of requested operations that it doesn't hold.
        missing: u32,
    },
    /// The pool is closed, because its instance has a leader.
    Closed,
}
