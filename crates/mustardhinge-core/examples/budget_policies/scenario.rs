//! The loads and faults of the comparison.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use mustardhinge_core::budget::lease::LeaseTerms;

use crate::event::Event;
use crate::history::PlainLimit;
use crate::plan::WorldPlan;

/// Microseconds per second.
pub(crate) const SECOND: u64 = 1_000_000;
/// The number of instances.
pub(crate) const INSTANCES: usize = 7;
/// The number of zones; instance i is in zone i mod 3.
pub(crate) const ZONES: usize = 3;
/// The warm-up time excluded from the report, in which ledgers open and fill.
pub(crate) const WARM_UP: u64 = 10 * SECOND;

/// The fault of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A planned stop of each instance, ten seconds apart.
    RollingReplacement,
    /// A crash of each instance, ten seconds apart.
    RollingCrash,
    /// A crash of instance 1, which holds its zone's share and keeps the central counter.
    HolderCrash,
    /// A partition of zone 0 from the other zones and the store for two minutes.
    ZonePartition,
    /// An outage of the store for three minutes.
    StoreDown,
}

/// A load and a fault.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) fault: Fault,
    pub(crate) length: u64,
    pub(crate) limits: Vec<PlainLimit>,
    /// Requests in order: time, instance, customer.
    pub(crate) requests: Vec<(u64, usize, usize)>,
    seed: u64,
}

/// The offered load of each customer, in percent of its rate.
struct Load {
    percent: u64,
    first_customer_percent: u64,
    /// The percentage of requests sent to instance 0.
    hot_percent: u32,
}

impl Scenario {
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let even = |percent| Load {
            percent,
            first_customer_percent: percent,
            hot_percent: 0,
        };
        let hot = Load {
            hot_percent: 80,
            ..even(70)
        };
        let five_fold = Load {
            first_customer_percent: 500,
            ..even(70)
        };
        vec![
            Self::new("even load, 70 % of the rates", &even(70), Fault::None, seed),
            Self::new("even load, 95 % of the rates", &even(95), Fault::None, seed),
            Self::new("one hot instance", &hot, Fault::None, seed),
            Self::new(
                "one customer at 5 times its rate",
                &five_fold,
                Fault::None,
                seed,
            ),
            Self::new(
                "instances replaced in a row",
                &even(70),
                Fault::RollingReplacement,
                seed,
            ),
            Self::new(
                "instances killed in a row",
                &even(70),
                Fault::RollingCrash,
                seed,
            ),
            Self::new("one holder killed", &even(70), Fault::HolderCrash, seed),
            Self::new(
                "a zone cut off for 2 min",
                &even(70),
                Fault::ZonePartition,
                seed,
            ),
            Self::new("the store out for 3 min", &even(70), Fault::StoreDown, seed),
            Self::new(
                "the store out, 45 % of the rates",
                &even(45),
                Fault::StoreDown,
                seed,
            ),
        ]
    }

    fn new(name: &'static str, load: &Load, fault: Fault, seed: u64) -> Self {
        let length = if fault == Fault::None { 70 } else { 250 } * SECOND;
        let limits: Vec<_> = (0..8).map(customer_limit).collect();
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for (customer, limit) in limits.iter().enumerate() {
            let percent = if customer == 0 {
                load.first_customer_percent
            } else {
                load.percent
            };
            let count = length / SECOND * limit.rate * percent / 100;
            for _ in 0..count {
                let time = random.random_range(0..length);
                let is_hot = random.random_range(0..100) < load.hot_percent;
                let instance = if is_hot {
                    0
                } else {
                    random.random_range(0..INSTANCES)
                };
                requests.push((time, instance, customer));
            }
        }
        requests.sort_unstable();
        Self {
            name,
            fault,
            length,
            limits,
            requests,
            seed,
        }
    }

    /// Returns the time of the fault of an instance.
    pub(crate) const fn fault_at(instance: usize) -> u64 {
        (30 + 10 * instance as u64) * SECOND
    }

    /// Returns the start and end of a partition or an outage.
    pub(crate) const fn outage(&self) -> (u64, u64) {
        let start = 30 * SECOND;
        match self.fault {
            Fault::ZonePartition => (start, start + 120 * SECOND),
            Fault::StoreDown => (start, start + 180 * SECOND),
            _ => (0, 0),
        }
    }

    pub(crate) fn plan(&self) -> WorldPlan {
        WorldPlan {
            zones: ZONES,
            entries: INSTANCES,
            limits: vec![self.limits.clone()],
            requests: self.requests.clone(),
            script: self.script(),
            terms: LeaseTerms::default(),
            ..WorldPlan::small(self.seed, self.length)
        }
    }

    fn script(&self) -> Vec<(u64, Event)> {
        let (start, end) = self.outage();
        match self.fault {
            Fault::None => Vec::new(),
            Fault::ZonePartition => vec![
                (start, Event::PartitionZone(Some(0))),
                (end, Event::PartitionZone(None)),
            ],
            Fault::StoreDown => vec![(start, Event::StoreUp(false)), (end, Event::StoreUp(true))],
            Fault::HolderCrash => self.replacement(1),
            Fault::RollingReplacement | Fault::RollingCrash => (0..INSTANCES)
                .flat_map(|instance| self.replacement(instance))
                .collect(),
        }
    }

    fn replacement(&self, instance: usize) -> Vec<(u64, Event)> {
        let time = Self::fault_at(instance);
        let mut events = vec![
            (time, Event::KillEntry(instance)),
            (time, Event::KillAgent(instance)),
        ];
        if self.fault == Fault::RollingReplacement {
            events.push((time - 3 * SECOND, Event::LeaveAgent(instance)));
        }
        events
    }
}

/// Returns the limit of a customer: two are large, six are small.
fn customer_limit(customer: usize) -> PlainLimit {
    let (rate, burst) = if customer < 2 { (60, 60) } else { (15, 20) };
    PlainLimit { rate, burst }
}
