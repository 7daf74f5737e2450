use std::fmt;

use mustardhinge_core::queue::CustomerWeight;

use super::model_run::WEIGHTS;

/// Sum of the rates of all customers, in requests per second.
const TOTAL_RATE: f64 = 400.0;

/// Order in which statements wait for a target, as in the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Where all routes have the same priority: customers take turns.
    Fair,
    /// Where routes have different priorities.
    Priority,
}

impl QueuePolicy {
    /// All policies.
    pub const ALL: [Self; 2] = [Self::Fair, Self::Priority];

    /// Returns the weight of a customer, in proportion to its rate.
    pub(super) fn weight(self, customer: usize) -> Option<CustomerWeight> {
        match self {
            Self::Fair => None,
            Self::Priority => Some(CustomerWeight::from_rate(WEIGHTS[customer] * TOTAL_RATE)),
        }
    }
}

impl fmt::Display for QueuePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Fair => "fair-queue",
            Self::Priority => "priority-queue",
        })
    }
}
