//! The state of one customer at one entry.

use std::collections::VecDeque;

use mustardhinge_core::budget::EntryAllowance;

pub(super) struct CustomerSide {
    pub(super) allowance: EntryAllowance,
    /// Arrival times of the requests that wait for budget, in global time.
    pub(super) waiting: VecDeque<u64>,
}
