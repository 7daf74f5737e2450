use std::fmt;

use super::model_run::WEIGHTS;
use super::queue_run::SLOTS;

/// When a burst or a flood begins, in milliseconds.
const BEGIN: u64 = 2_000;
/// When a burst ends.
const BURST_END: u64 = 5_000;
/// When a flood ends.
const FLOOD_END: u64 = 7_000;
/// The factor of a burst.
const BURST: f64 = 2.6;
/// The factor of one customer's flood.
const FLOOD: f64 = 7.5;
/// Usual load before a burst or a flood, as a part of the capacity.
const USUAL_LOAD: f64 = 0.6;
/// Lasting overload, as a multiple of the capacity.
const OVERLOAD: f64 = 1.5;
/// Slot time of the statements of each priority, in milliseconds.
pub(super) const SLOT_TIMES: [u64; 3] = [8, 24, 40];
/// Time within which a statement of each priority has to be answered, in milliseconds.
pub(super) const OBJECTIVES: [u64; 3] = [200, 400, 1_200];
/// Part of the offered slot time that each priority takes in deployment P of `docs/OVERLOAD.md`.
const DEPLOYMENT_SHARES: [f64; 3] = [0.04, 0.59, 0.37];
/// Equal parts of the offered slot time.
const EVEN_SHARES: [f64; 3] = [1.0 / 3.0; 3];

/// A load on the queue of one target by statements of three priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueCase {
    /// All customers send 2.6 times their usual load for 3 s.
    Burst,
    /// One customer sends 7.5 times its usual load for 5 s.
    OneCustomer,
    /// 1.5 times the capacity all the time, evenly divided among the priorities.
    Overload,
}

impl QueueCase {
    /// All cases.
    pub const ALL: [Self; 3] = [Self::Burst, Self::OneCustomer, Self::Overload];

    /// Returns how many statements of a customer and a priority arrive per millisecond.
    pub(super) fn arrivals(self, customer: usize, priority: usize, now: u64) -> f64 {
        let (load, shares) = match self {
            Self::Burst | Self::OneCustomer => (USUAL_LOAD, DEPLOYMENT_SHARES),
            Self::Overload => (OVERLOAD, EVEN_SHARES),
        };
        let factor = match self {
            Self::Burst if (BEGIN..BURST_END).contains(&now) => BURST,
            Self::OneCustomer if self.is_flood(customer) && (BEGIN..FLOOD_END).contains(&now) => {
                FLOOD
            }
            _ => 1.0,
        };
        let slot_time = load * shares[priority] * WEIGHTS[customer] * factor * f64::from(SLOTS);
        slot_time / SLOT_TIMES[priority] as f64
    }

    /// Returns whether a customer sends many times its usual load.
    pub(super) fn is_flood(self, customer: usize) -> bool {
        self == Self::OneCustomer && customer == 0
    }
}

impl fmt::Display for QueueCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Burst => "burst",
            Self::OneCustomer => "one-customer",
            Self::Overload => "overload",
        })
    }
}
