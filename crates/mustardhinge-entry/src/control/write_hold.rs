use mustardhinge_core::prelude::*;

/// A wait of new writes before a planned change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteHold {
    /// The term whose primary gets no new writes.
    pub term: LeaderTerm,
    /// When the wait ends, if no greater term comes sooner.
    pub until: MonotonicTime,
}
