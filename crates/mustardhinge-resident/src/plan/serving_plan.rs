use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::key::{KeyDigest, KeyTable};
use mustardhinge_core::prelude::{CustomerId, DocumentVersion, ServiceId};

use super::{PlanCustomer, PlanRoute};

/// The parts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct PlanParts {
    /// The version; greater ones replace smaller ones.
    pub version: DocumentVersion,
    /// The routes by database.
    pub routes: HashMap<Bytes, Rc<PlanRoute>>,
    /// The customers.
    pub customers: Vec<PlanCustomer>,
    /// The customers' keys.
    pub keys: KeyTable,
    /// How many connections a target of each service takes.
    pub connection_limits: HashMap<ServiceId, usize>,
    /// How long a transaction may rest.
    pub transaction_idle_timeout: Duration,
    /// The configuration as the operator wrote it, to pass on.
    pub source: Bytes,
}

/// One version of the configuration that is served.
#[derive(Clone, Debug, Default)]
pub struct ServingPlan {
    parts: PlanParts,
}

impl ServingPlan {
    /// Makes a plan of its parts.
    #[must_use]
    pub const fn new(parts: PlanParts) -> Self {
        Self { parts }
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

    /// Returns the customer whose key has the digest.
    #[must_use]
    pub fn find_customer(&self, digest: &KeyDigest) -> Option<&CustomerId> {
        self.parts.keys.find_customer(digest)
    }

    /// Returns the customers.
    #[must_use]
    pub fn customers(&self) -> &[PlanCustomer] {
        &self.parts.customers
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.parts.connection_limits.keys()
    }

    /// Returns how many connections a target of the service takes from all instances.
    #[must_use]
    pub fn connection_limit(&self, service: &ServiceId) -> usize {
        self.parts
            .connection_limits
            .get(service)
            .copied()
            .unwrap_or(0)
    }

    /// Returns how long a transaction may rest.
    #[must_use]
    pub const fn transaction_idle_timeout(&self) -> Duration {
        self.parts.transaction_idle_timeout
    }

    /// Returns the configuration as the operator wrote it.
    #[must_use]
    pub const fn source(&self) -> &Bytes {
        &self.parts.source
    }
}
