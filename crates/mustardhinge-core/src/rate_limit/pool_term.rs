use serde::{Deserialize, Serialize};

/// Identifies the time between the opening and the end of one instance's share pool.
///
/// A deposit counts only in the term that it names, so that no copy of it counts in the pool of a
/// restarted process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTerm {
    /// The incarnation of the process that keeps the pool.
    pub incarnation: u64,
    /// The number of pools that this process has ended before.
    pub number: u64,
}
