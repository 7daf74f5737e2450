use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_config::document::{RouteEntry, ServiceDocument};
use mustardhinge_core::connection::LimitError;
use mustardhinge_core::key::KeyTable;
use mustardhinge_core::prelude::*;
use mustardhinge_core::routing::{ReadRouter, RouterSettings, TargetState};

use super::lazy_group::LazyGroup;
use super::{CustomerWeights, EntryContext};
use crate::group::{GroupHandle, GroupSnapshot};
use crate::target::TargetPool;

/// Runtime state of one service.
#[derive(Debug)]
pub struct ServiceRuntime {
    version: DocumentVersion,
    document: ServiceDocument,
    keys: KeyTable,
    zones: Vec<ZoneId>,
    routes: BTreeMap<RouteName, RouteEntry>,
    weights: CustomerWeights,
    router: ReadRouter,
    group: Arc<LazyGroup>,
}

impl ServiceRuntime {
    /// Prepares the runtime state of a document.
    ///
    /// The watch and the connections of `previous` are reused if neither the servers
    /// of the group nor the limits changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the limits allow no connection per instance.
    pub fn prepare(
        version: DocumentVersion,
        document: ServiceDocument,
        previous: Option<&Arc<Self>>,
        context: &EntryContext,
    ) -> Result<Self, LimitError> {
        let reusable = previous.filter(|old| old.can_reuse_group(&document));
        let group = match reusable {
            Some(old) => Arc::clone(&old.group),
            None => Arc::new(LazyGroup::new(&document, context)?),
        };
        let keys = document.customers.iter().flat_map(|customer| {
            let name = customer.name.clone();
            customer.keys.iter().map(move |key| (name.clone(), *key))
        });
        let replica_wait = Duration::from_millis(document.limits.replica_wait_ms.into());
        let zones = document
            .group
            .targets
            .iter()
            .map(|entry| entry.zone.clone());
        let zones: BTreeSet<ZoneId> = zones.collect();
        let routes = document.routes.iter();
        Ok(Self {
            version,
            keys: KeyTable::new(keys),
            zones: zones.into_iter().collect(),
            routes: routes
                .map(|route| (route.name.clone(), route.clone()))
                .collect(),
            weights: CustomerWeights::of(&document),
            router: ReadRouter::new(
                context.zone.clone(),
                RouterSettings::new().replica_wait(replica_wait),
            ),
            document,
            group,
        })
    }

    fn can_reuse_group(&self, document: &ServiceDocument) -> bool {
        let servers = |document: &ServiceDocument| -> Vec<_> {
            let targets = document.group.targets.iter();
            targets
                .map(|entry| (entry.name.clone(), entry.address))
                .collect()
        };
        self.document.limits == document.limits && servers(&self.document) == servers(document)
    }

    /// Returns the version of the document.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        self.version
    }

    /// Returns the document.
    #[must_use]
    pub fn document(&self) -> &ServiceDocument {
        &self.document
    }

    /// Returns the keys of the customers.
    #[must_use]
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns the availability zones of the service's targets.
    #[must_use]
    pub fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// Returns the number of the group's targets.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.document.group.targets.len()
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteEntry> {
        self.routes.get(name)
    }

    /// Returns the weights of the customers in queues with priorities.
    #[must_use]
    pub fn weights(&self) -> &CustomerWeights {
        &self.weights
    }

    /// Returns the read router.
    #[must_use]
    pub fn router(&self) -> &ReadRouter {
        &self.router
    }

    /// Returns the handle of the group's watch, which starts on first use.
    #[must_use]
    pub fn group(&self) -> &GroupHandle {
        self.group.watch()
    }

    /// Returns the connection pool of a target.
    #[must_use]
    pub fn pool(&self, target: &TargetId) -> Option<&Arc<TargetPool>> {
        self.group.pool(target)
    }

    /// Returns the deadline of a statement, which covers waiting and running.
    #[must_use]
    pub fn statement_timeout(&self) -> Duration {
        Duration::from_millis(self.document.limits.statement_deadline_ms.into())
    }

    /// Returns the maximum age of the proof that keys are valid.
    #[must_use]
    pub fn max_proof_age(&self) -> Duration {
        Duration::from_millis(self.document.limits.key_proof_ms.into())
    }

    /// Returns the state of each target, for routing. Targets in `excluded` count as
    /// unresponsive.
    ///
    /// If all targets are unresponsive, only the excluded ones count as such: the
    /// others may just be slow, and there is no better choice.
    #[must_use]
    pub fn target_states(
        &self,
        snapshot: &GroupSnapshot,
        excluded: &[TargetId],
    ) -> Vec<TargetState> {
        let primary = snapshot.writable_primary().map(|(target, _)| target);
        let targets = self.document.group.targets.iter();
        let state_of = |entry: &mustardhinge_config::document::TargetEntry| {
            let pool = self.group.pool(&entry.name)?;
            let report = &snapshot.view.report(&entry.name)?.report;
            Some(TargetState {
                target: entry.name.clone(),
                zone: entry.zone.clone(),
                applied: report.applied,
                is_primary: primary.as_ref() == Some(&entry.name),
                in_flight: pool.load(),
                slots: pool.slots(),
                is_draining: entry.leaving,
                is_unresponsive: snapshot.unresponsive.contains(&entry.name)
                    || excluded.contains(&entry.name),
            })
        };
        let mut states: Vec<TargetState> = targets.filter_map(state_of).collect();
        if states.iter().all(|state| state.is_unresponsive) {
            for state in &mut states {
                state.is_unresponsive = excluded.contains(&state.target);
            }
        }
        states
    }
}
