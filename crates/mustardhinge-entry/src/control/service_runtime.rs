use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_config::document::{RouteEntry, ServiceDocument};
use mustardhinge_core::connection::{LimitError, PoolLimit};
use mustardhinge_core::key::KeyTable;
use mustardhinge_core::prelude::*;
use mustardhinge_core::routing::{ReadRouter, RouterSettings, TargetState};

use super::EntryPlace;
use crate::group::{GroupHandle, GroupSnapshot, GroupWatch};
use crate::target::{PoolSettings, TargetPool};

/// Connections of an instance to a target that its group's watch keeps.
const WATCH_CONNECTIONS: u32 = 1;

/// One service as the entry serves it.
#[derive(Debug)]
pub struct ServiceRuntime {
    version: DocumentVersion,
    document: ServiceDocument,
    keys: KeyTable,
    zones: Vec<ZoneId>,
    routes: BTreeMap<RouteName, RouteEntry>,
    router: ReadRouter,
    group: GroupHandle,
    pools: BTreeMap<TargetId, Arc<TargetPool>>,
}

impl ServiceRuntime {
    /// Prepares a document for service; watch and connections are taken over
    /// from `previous` if the group is unchanged.
    ///
    /// Has to be called on the control runtime.
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
        let (group, pools) = match reusable {
            Some(old) => (old.group.clone(), old.pools.clone()),
            None => start_group(&document, place)?,
        };
        let keys = document.customers.iter().flat_map(|customer| {
            let name = customer.name.clone();
            customer.keys.iter().map(move |key| (name.clone(), *key))
        });
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
            router: ReadRouter::new(place.zone.clone(), RouterSettings::new()),
            document,
            group,
            pools,
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

    /// Returns the watch of the group.
    #[must_use]
    pub fn group(&self) -> &GroupHandle {
        &self.group
    }

    /// Returns the connections to a target.
    #[must_use]
    pub fn pool(&self, target: &TargetId) -> Option<&Arc<TargetPool>> {
        self.pools.get(target)
    }

    /// Returns the connections to all targets.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<TargetPool>> {
        self.pools.values()
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
    #[must_use]
    pub fn target_states(
        &self,
        snapshot: &GroupSnapshot,
        excluded: &[TargetId],
    ) -> Vec<TargetState> {
        let primary = snapshot.writable_primary().map(|(target, _)| target);
        let targets = self.document.group.targets.iter();
        let state_of = |entry: &mustardhinge_config::document::TargetEntry| {
            let pool = self.pools.get(&entry.name)?;
            let report = &snapshot.view.report(&entry.name)?.report;
            Some(TargetState {
                target: entry.name.clone(),
                zone: entry.zone.clone(),
                applied: report.applied,
                is_primary: primary.as_ref() == Some(&entry.name),
                in_flight: pool.load(),
                slots: pool.slots(),
                is_draining: entry.leaving,
                is_silent: snapshot.silent.contains(&entry.name) || excluded.contains(&entry.name),
            })
        };
        targets.filter_map(state_of).collect()
    }
}

type GroupParts = (GroupHandle, BTreeMap<TargetId, Arc<TargetPool>>);

fn start_group(document: &ServiceDocument, place: &EntryPlace) -> Result<GroupParts, LimitError> {
    let clock = place.clock;
    let limits = &document.limits;
    let limit = PoolLimit::new(
        limits.connections_per_target,
        limits.slots_per_target,
        limits.max_instances,
    )?;
    let settings = PoolSettings::new(document.service.as_str())
        .connections(limit.connections().saturating_sub(WATCH_CONNECTIONS));
    let mut pools = BTreeMap::new();
    for entry in &document.group.targets {
        let name = entry.name.clone();
        let pool = TargetPool::new(name.clone(), entry.address, settings.clone(), clock);
        tokio::spawn(open_first(Arc::clone(&pool)));
        pools.insert(name, pool);
    }
    let ack_timeout = Duration::from_millis(limits.statement_deadline_ms.into());
    let database = document.service.as_str();
    let group = GroupWatch::start(
        &document.group,
        database,
        ack_timeout,
        place.agent.clone(),
        clock,
    );
    Ok((group, pools))
}

async fn open_first(pool: Arc<TargetPool>) {
    if let Err(error) = pool.open_ahead().await {
        mustardhinge_process::event::TARGET_NOT_REACHED.log(format_args!(
            "target={} error={:?}",
            pool.target(),
            error.to_string()
        ));
    }
}
