use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_config::document::{RouteEntry, ServiceDocument};
use mustardhinge_core::connection::LimitError;
use mustardhinge_core::key::KeyTable;
use mustardhinge_core::prelude::*;
use mustardhinge_core::routing::{ReadRouter, RouterSettings, TargetState};

use super::EntryPlace;
use super::lazy_group::LazyGroup;
use crate::group::{GroupHandle, GroupSnapshot};
use crate::target::TargetPool;

/// One service as the entry serves it.
#[derive(Debug)]
pub struct ServiceRuntime {
    version: DocumentVersion,
    document: ServiceDocument,
    keys: KeyTable,
    zones: Vec<ZoneId>,
    routes: BTreeMap<RouteName, RouteEntry>,
    router: ReadRouter,
    group: Arc<LazyGroup>,
}

impl ServiceRuntime {
    /// Prepares a document for service; watch and connections are taken over
    /// from `previous` if the group is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the limits leave no connection for each instance.
    pub fn prepare(
        version: DocumentVersion,
        document: ServiceDocument,
        previous: Option<&Arc<Self>>,
        place: &EntryPlace,
    ) -> Result<Self, LimitError> {
        let reusable = previous.filter(|old| old.has_same_servers(&document));
        let group = match reusable {
            Some(old) => Arc::clone(&old.group),
            None => Arc::new(LazyGroup::new(&document, place)?),
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
            router: ReadRouter::new(
                place.zone.clone(),
                RouterSettings::new().replica_wait(replica_wait),
            ),
            document,
            group,
        })
    }

    fn has_same_servers(&self, document: &ServiceDocument) -> bool {
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
    pub fn targets(&self) -> usize {
        self.document.group.targets.len()
    }

    /// Returns a route.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteEntry> {
        self.routes.get(name)
    }

    /// Returns the router of reads.
    #[must_use]
    pub fn router(&self) -> &ReadRouter {
        &self.router
    }

    /// Returns the watch of the group, which starts with the first use.
    #[must_use]
    pub fn group(&self) -> &GroupHandle {
        self.group.watch()
    }

    /// Returns the connections to a target.
    #[must_use]
    pub fn pool(&self, target: &TargetId) -> Option<&Arc<TargetPool>> {
        self.group.pool(target)
    }

    /// Returns the time that a statement may wait and run.
    #[must_use]
    pub fn statement_bound(&self) -> Duration {
        Duration::from_millis(self.document.limits.statement_deadline_ms.into())
    }

    /// Returns the age that proof of a key may have.
    #[must_use]
    pub fn proof_bound(&self) -> Duration {
        Duration::from_millis(self.document.limits.key_proof_ms.into())
    }

    /// Returns what is known of each target, for routing; those in `excluded`
    /// count as silent.
    ///
    /// Where all are silent, none counts as such: they may be slow, and there is
    /// no better choice.
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
