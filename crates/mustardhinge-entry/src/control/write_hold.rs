use mustardhinge_core::prelude::*;

/// Hold of new writes before a planned switchover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteHold {
    /// Term whose primary receives no new writes.
    pub term: LeaderTerm,
    /// End of the hold, unless a later term starts before.
    pub until: MonotonicTime,
}
