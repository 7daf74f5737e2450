use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use mustardhinge_config::document::{GroupEntry, ServiceDocument};
use mustardhinge_core::connection::{LimitError, PoolLimit};
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;

use super::EntryContext;
use crate::group::{GroupHandle, GroupWatch};
use crate::target::{PoolSettings, TargetPool};

/// Number of connections per target that the watch of the group uses.
const WATCH_CONNECTIONS: u32 = 1;

/// Group whose watch and connection pools start on first use.
///
/// An instance has the documents of many services. It opens connections only for
/// the services that its callers use.
#[derive(Debug)]
pub(super) struct LazyGroup {
    group: GroupEntry,
    settings: PoolSettings,
    ack_timeout: Duration,
    context: EntryContext,
    started: OnceLock<StartedGroup>,
}

#[derive(Debug)]
struct StartedGroup {
    watch: GroupHandle,
    pools: BTreeMap<TargetId, Arc<TargetPool>>,
}

impl LazyGroup {
    /// Prepares the group of a document without starting it.
    ///
    /// # Errors
    ///
    /// Returns an error if the limits allow no connection per instance.
    pub(super) fn new(
        document: &ServiceDocument,
        context: &EntryContext,
    ) -> Result<Self, LimitError> {
        let limits = &document.limits;
        let limit = PoolLimit::new(
            limits.connections_per_target,
            limits.slots_per_target,
            limits.max_instances,
        )?;
        let connections = limit.connections().saturating_sub(WATCH_CONNECTIONS);
        Ok(Self {
            group: document.group.clone(),
            settings: PoolSettings::new(document.service.as_str()).connections(connections),
            ack_timeout: Duration::from_millis(limits.statement_deadline_ms.into()),
            context: context.clone(),
            started: OnceLock::new(),
        })
    }

    /// Returns the handle of the group's watch, starting the group on first use.
    pub(super) fn watch(&self) -> &GroupHandle {
        &self.started().watch
    }

    /// Returns the connection pool of a target, starting the group on first use.
    pub(super) fn pool(&self, target: &TargetId) -> Option<&Arc<TargetPool>> {
        self.started().pools.get(target)
    }

    fn started(&self) -> &StartedGroup {
        self.started.get_or_init(|| self.start())
    }

    fn start(&self) -> StartedGroup {
        let _control = self.context.control.enter();
        let database = self.settings.get_database();
        let targets = self.group.targets.iter();
        let pools = targets.map(|entry| {
            let name = entry.name.clone();
            let settings = self.settings.clone();
            let pool = TargetPool::new(name.clone(), entry.address, settings, self.context.clock);
            tokio::spawn(open_first_connection(Arc::clone(&pool)));
            (name, pool)
        });
        let pools = pools.collect();
        let watch = GroupWatch::start(&self.group, database, self.ack_timeout, &self.context);
        StartedGroup { watch, pools }
    }
}

async fn open_first_connection(pool: Arc<TargetPool>) {
    if let Err(error) = pool.open_in_advance().await {
        let cause = error.to_string();
        event::TARGET_NOT_REACHED.log(format_args!("target={} error={cause:?}", pool.target()));
    }
}
