//! One customer at one entry: its allowance and the requests that wait.

use std::collections::VecDeque;

use mustardhinge_core::budget::EntryAllowance;

pub(super) struct CustomerSide {
    pub(super) allowance: EntryAllowance,
    /// Arrival times of requests that wait for budget, by global time.
    pub(super) waiting: VecDeque<u64>,
}
