//! The plan of a run.

use std::time::Duration;

use mustardhinge_core::budget::lease::LeaseTerms;

use super::event::Event;
use super::faults::{FaultRates, InjectedFault};
use super::history::PlainLimit;

/// The fleet, load and faults of a run.
#[derive(Clone, Debug)]
pub(super) struct WorldPlan {
    pub(super) seed: u64,
    pub(super) zones: usize,
    pub(super) entries: usize,
    /// The global time at which the load ends, in microseconds.
    pub(super) length: u64,
    /// The limits of the customers in each successive revision of the document.
    pub(super) limits: Vec<Vec<PlainLimit>>,
    /// Requests: time, entry, customer.
    pub(super) requests: Vec<(u64, usize, usize)>,
    /// Events at fixed times.
    pub(super) script: Vec<(u64, Event)>,
    pub(super) faults: FaultRates,
    pub(super) injected: InjectedFault,
    pub(super) terms: LeaseTerms,
    /// One-way delays of messages within and between zones, in microseconds.
    pub(super) delays: (u64, u64),
}

impl WorldPlan {
    /// Returns a fleet of three zones and six entries without load or faults.
    pub(super) fn small(seed: u64, length: u64) -> Self {
        Self {
            seed,
            zones: 3,
            entries: 6,
            length,
            limits: Vec::new(),
            requests: Vec::new(),
            script: Vec::new(),
            faults: FaultRates::default(),
            injected: InjectedFault::None,
            terms: LeaseTerms {
                flexible: Duration::from_secs(3),
                floor: Duration::from_secs(8),
            },
            delays: (200, 1_000),
        }
    }
}
