//! A customer of the replay: its limits, its callers and what it was admitted.

use mustardhinge_core::prelude::CustomerId;
use mustardhinge_core::rate_limit::CustomerRate;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::{INSTANCES, STEP, WINDOW};

/// Rates of the larger customers, in operations per second.
const LARGE_RATES: [u32; 20] = [
    391, 171, 105, 75, 57, 46, 38, 33, 28, 25, 23, 20, 19, 17, 16, 15, 14, 13, 12, 11,
];
/// Number of customers with 5 to 10 operations per second.
const SMALL_CUSTOMERS: u32 = 61;
/// Callers per operation per second: 3,980 callers share 1,586 operations per second.
const CALLERS_PER_RATE: f64 = 2.5;

/// One customer.
pub(super) struct ReplayCustomer {
    pub(super) id: CustomerId,
    pub(super) limits: CustomerRate,
    /// The instance of each caller.
    pub(super) callers: Vec<usize>,
    /// Times of the admitted operations, in milliseconds.
    pub(super) admitted: Vec<u64>,
    /// Times of the refused operations, in milliseconds.
    pub(super) refused: Vec<u64>,
}

impl ReplayCustomer {
    /// Returns all customers. Their callers are at random instances.
    pub(super) fn all(random: &mut SmallRng) -> Vec<Self> {
        let small = (0..SMALL_CUSTOMERS).map(|index| 5 + index % 6);
        let rates = LARGE_RATES.into_iter().chain(small);
        let customers = (0..).zip(rates).map(|(index, rate)| {
            let rate = f64::from(rate);
            let callers = (rate * CALLERS_PER_RATE) as usize;
            Self {
                id: format!("c{index}").parse().unwrap(),
                limits: CustomerRate { rate, burst: rate },
                callers: (0..callers)
                    .map(|_| random.random_range(0..INSTANCES))
                    .collect(),
                admitted: Vec::new(),
                refused: Vec::new(),
            }
        });
        customers.collect()
    }

    /// Returns the number of operations that arrive in one step at `times` the usual demand,
    /// which is half of the rate.
    pub(super) fn arrivals(&self, times: f64, random: &mut SmallRng) -> usize {
        let expected = self.limits.rate / 2.0 * times * STEP as f64 / 1_000.0;
        let more = random.random_bool(expected.fract());
        expected.floor() as usize + usize::from(more)
    }

    /// Returns the maximum number of operations in any window.
    pub(super) fn most_in_window(&self) -> usize {
        let mut times = self.admitted.clone();
        times.sort_unstable();
        let mut first = 0;
        let counts = (0..times.len()).map(|last| {
            while times[first] + WINDOW <= times[last] {
                first += 1;
            }
            last + 1 - first
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the bound of a window: the rate and the burst, plus 10 %, plus 20 operations.
    pub(super) fn most_allowed(&self) -> usize {
        ((self.limits.rate * 5.0 + self.limits.burst) * 1.1 + 20.0) as usize
    }

    /// Returns the numbers of refused operations and of all operations between two times.
    pub(super) fn refused_between(&self, from: u64, to: u64) -> (usize, usize) {
        let count = |times: &[u64]| {
            let within = times.iter().filter(|time| (from..to).contains(*time));
            within.count()
        };
        let refused = count(&self.refused);
        (refused, refused + count(&self.admitted))
    }
}
