use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::key::{KeyDigest, KeyTable};
use mustardhinge_core::placement::{CustomerShare, HomeRegions};
use mustardhinge_core::prelude::{CustomerId, DocumentVersion, RouteName, ServiceId};
use mustardhinge_core::primary_lease::ConfirmingReplicas;
use mustardhinge_core::queue::CustomerWeight;

use super::{PlanCustomer, PlanRoute};

/// The contents of a configuration.
#[derive(Clone, Debug, Default)]
pub struct PlanParts {
    /// The version. A higher one replaces a lower one.
    pub version: DocumentVersion,
    /// The routes by database.
    pub routes: HashMap<Bytes, Rc<PlanRoute>>,
    /// The customers.
    pub customers: Vec<PlanCustomer>,
    /// The keys of the customers.
    pub keys: KeyTable,
    /// Connection limit of a target, by service.
    pub connection_limits: HashMap<ServiceId, usize>,
    /// Number of replicas that confirm a commit, by service; none for services that are left out.
    pub confirming_replicas: HashMap<ServiceId, ConfirmingReplicas>,
    /// Time after which an idle transaction is ended.
    pub transaction_idle_timeout: Duration,
    /// The operator's text of the configuration, relayed to other instances.
    pub source: Bytes,
}

/// One version of the served configuration.
#[derive(Clone, Debug, Default)]
pub struct ServingPlan {
    parts: PlanParts,
    customer_shares: HashMap<CustomerId, CustomerShare>,
    /// The home regions of the customers that have some.
    customer_homes: HashMap<CustomerId, Rc<HomeRegions>>,
    total_weight: u64,
}

impl ServingPlan {
    /// Creates a plan from its contents.
    #[must_use]
    pub fn new(parts: PlanParts) -> Self {
        let customers = parts.customers.iter();
        let total = customers.map(|limits| limits.limits.rate).sum();
        let customers = parts.customers.iter();
        let customer_shares = customers
            .map(|limits| {
                let share = CustomerShare::new(limits.limits.rate, total);
                (limits.customer.clone(), share)
            })
            .collect();
        let customers = parts.customers.iter();
        let customer_homes = customers
            .filter_map(|known| Some((known.customer.clone(), known.home_regions.clone()?)))
            .collect();
        let weights = parts.customers.iter();
        let weights = weights.map(|limits| CustomerWeight::from_rate(limits.limits.rate).get());
        let total_weight = weights.map(u64::from).sum();
        Self {
            parts,
            customer_shares,
            customer_homes,
            total_weight,
        }
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> DocumentVersion {
        self.parts.version
    }

    /// Returns the route of a database.
    #[must_use]
    pub fn route(&self, database: &[u8]) -> Option<&Rc<PlanRoute>> {
        self.parts.routes.get(database)
    }

    /// Returns the route of a service with this name, or else the one of the database of this name.
    /// Routes of several services may have the same name.
    #[must_use]
    pub fn find_route(&self, service: &ServiceId, name: &RouteName) -> Option<&Rc<PlanRoute>> {
        let of_service = |route: &&Rc<PlanRoute>| route.service == *service;
        let mut routes = self.parts.routes.values().filter(of_service);
        let named = routes.find(|route| route.name.as_ref() == Some(name));
        named.or_else(|| self.route(name.as_str().as_bytes()).filter(of_service))
    }

    /// Returns the customer whose key has this digest.
    #[must_use]
    pub fn find_customer(&self, digest: &KeyDigest) -> Option<&CustomerId> {
        self.parts.keys.find_customer(digest)
    }

    /// Returns the customers.
    #[must_use]
    pub fn customers(&self) -> &[PlanCustomer] {
        &self.parts.customers
    }

    /// Returns the sum of the weights of all customers.
    #[must_use]
    pub const fn total_weight(&self) -> u64 {
        self.total_weight
    }

    /// Returns a customer's share of the rates of all customers, or 0 for an unknown customer.
    #[must_use]
    pub fn customer_share(&self, customer: &CustomerId) -> CustomerShare {
        let share = self.customer_shares.get(customer);
        share.copied().unwrap_or_default()
    }

    /// Returns the regions to which the requests of a customer on a route are restricted, or `None`
    /// if they aren't.
    #[must_use]
    pub fn home_regions(
        &self,
        route: &PlanRoute,
        customer: &CustomerId,
    ) -> Option<Rc<HomeRegions>> {
        match (&route.home_regions, self.customer_homes.get(customer)) {
            (Some(of_route), Some(of_customer)) => {
                Some(Rc::new(of_route.intersection(of_customer)))
            }
            (of_route, of_customer) => of_route.as_ref().or(of_customer).cloned(),
        }
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.parts.connection_limits.keys()
    }

    /// Returns the connection limit of a target of the service, for all instances together.
    #[must_use]
    pub fn connection_limit(&self, service: &ServiceId) -> usize {
        self.parts
            .connection_limits
            .get(service)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of replicas that must have received a commit of the service before its
    /// primary acknowledges it.
    #[must_use]
    pub fn confirming_replicas(&self, service: &ServiceId) -> ConfirmingReplicas {
        let confirming = self.parts.confirming_replicas.get(service);
        confirming.copied().unwrap_or_default()
    }

    /// Returns the time after which an idle transaction is ended.
    #[must_use]
    pub const fn transaction_idle_timeout(&self) -> Duration {
        self.parts.transaction_idle_timeout
    }

    /// Returns the operator's text of the configuration.
    #[must_use]
    pub const fn source(&self) -> &Bytes {
        &self.parts.source
    }
}
