use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::{CustomerProfile, DeploymentName, WorkMix};

/// The number of large customers.
const LARGE_CUSTOMERS: u32 = 2;

/// The number of customers.
const CUSTOMERS: u32 = 8;

/// The sizes, delays and load of one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentProfile {
    /// The deployment.
    pub name: DeploymentName,
    /// The availability zones.
    pub zones: Vec<ZoneId>,
    /// The instances.
    pub instances: u32,
    /// The services, each with a group of its own.
    pub services: Vec<ServiceId>,
    /// Servers of a group.
    pub targets_per_group: u32,
    /// Statements that a server works on at once.
    pub slots: u32,
    /// Connections that a server takes.
    pub connections: u32,
    /// The time to open a connection to a server.
    pub connect_delay: Duration,
    /// The delay between zones, one way.
    pub zone_delay: Duration,
    /// The delay from callers to instances, one way.
    pub caller_delay: Duration,
    /// How far the reads of each target of a group lag behind its log.
    pub replica_lags: Vec<Duration>,
    /// The time that a statement takes in its slot.
    pub statement_time: Duration,
    /// The age that the route for older rows allows.
    pub max_age: Duration,
    /// How long a read waits for a replica that is nearly current.
    pub replica_wait_ms: u32,
    /// Whether writes have a higher priority than reads of the newest rows, and these than others.
    pub has_priorities: bool,
    /// The customers of each service.
    pub customers: Vec<CustomerProfile>,
    /// What they do.
    pub mix: WorkMix,
}

impl DeploymentProfile {
    /// Returns the profile of a deployment at its present size.
    #[must_use]
    pub fn of(name: DeploymentName) -> Self {
        let (slots, zone_micros, caller_millis, replica_wait_ms, prefix) = match name {
            DeploymentName::Muscat => (5, 1_000, 3, 5, "haulage"),
            DeploymentName::TaiwanNorth => (2, 500, 1, 30, "swatches"),
        };
        Self {
            name,
            zones: (1..=3).map(|n| make_id(&format!("zone-{n}"))).collect(),
            instances: 7,
            services: (1..=3).map(|n| make_id(&format!("{prefix}-{n}"))).collect(),
            targets_per_group: 3,
            slots,
            replica_wait_ms,
            has_priorities: false,
            connections: 30,
            connect_delay: Duration::from_millis(10),
            zone_delay: Duration::from_micros(zone_micros),
            caller_delay: Duration::from_millis(caller_millis),
            replica_lags: [0, 20, 200].map(Duration::from_millis).to_vec(),
            statement_time: Duration::from_millis(2),
            max_age: Duration::from_secs(2),
            customers: (1..=CUSTOMERS).map(make_customer).collect(),
            mix: make_mix(name),
        }
    }

    /// Returns the name of a target of a service's group.
    #[must_use]
    pub fn target_name(service: &ServiceId, number: u32) -> TargetId {
        make_id(&format!("{service}-db-{number}"))
    }
}

fn make_id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse()
        .expect("the names of a profile are identifiers")
}

fn make_customer(number: u32) -> CustomerProfile {
    let is_large = number <= LARGE_CUSTOMERS;
    let (rate, burst) = if is_large { (60, 60) } else { (15, 20) };
    CustomerProfile {
        customer: make_id(&format!("customer-{number}")),
        rate: RequestRate::from_millis(rate * 1_000),
        burst: RequestBurst::from_millis(burst * 1_000),
        offered_per_s: if is_large { 40.0 } else { 9.0 },
        surge_factor: if number == 1 { 4.0 } else { 1.0 },
        sessions: if is_large { 8 } else { 2 },
    }
}

fn make_mix(name: DeploymentName) -> WorkMix {
    match name {
        DeploymentName::Muscat => WorkMix {
            confirmations: 30,
            orders: 5,
            reassignments: 5,
            newest_reads: 25,
            aged_reads: 25,
            open_reads: 10,
        },
        DeploymentName::TaiwanNorth => WorkMix {
            confirmations: 8,
            orders: 12,
            reassignments: 2,
            newest_reads: 20,
            aged_reads: 43,
            open_reads: 15,
        },
    }
}
