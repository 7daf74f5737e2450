use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::budget::lease::HolderId;
use mustardhinge_core::budget::{LedgerError, LedgerResponse};
use mustardhinge_rpc::budget::BudgetRequest;
use serde::de::DeserializeOwned;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::escrow_ledgers::EscrowLedgers;
use super::escrow_write::EscrowWrite;
use crate::membership::rank_zone;
use crate::platform::{
    ObjectKind, ObjectUpdate, PlatformClient, PlatformError, PutOutcome, StoredObject,
};
use crate::state::SharedState;

/// Interval between two steps of the lease and the shares.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of top-ranked agents of a zone that try to acquire the lease on its
/// share.
const CANDIDATES: u32 = 2;
/// Long-poll wait of one watch call for the shares.
const SHARES_WAIT: Duration = Duration::from_secs(10);
/// Interval at which the watch of the shares checks whether this agent holds the
/// lease; also the retry delay after a failed watch call.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a planned stop waits for the lease to be released. All outstanding
/// grants have expired by then.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Manages the lease on the zone's share and, while this agent holds it, the
/// ledgers of the zone.
pub(crate) struct EscrowManager {
    state: Arc<SharedState>,
    platform: PlatformClient,
    claimant: String,
    ledgers: Mutex<EscrowLedgers>,
}

impl EscrowManager {
    /// Creates the manager of an agent that has just started.
    pub(crate) fn new(state: Arc<SharedState>, platform: PlatformClient, claimant: String) -> Self {
        let holder = HolderId {
            instance: state.instance.clone(),
            incarnation: state.read(|known| known.incarnation),
        };
        let ledgers = EscrowLedgers::new(state.zone.clone(), holder);
        Self {
            state,
            platform,
            claimant,
            ledgers: Mutex::new(ledgers),
        }
    }

    /// Handles a budget request of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if this agent does not hold the lease on its zone's share,
    /// the customer is unknown, or the sequence number of the request is stale.
    pub(crate) fn handle_request(
        &self,
        request: &BudgetRequest,
    ) -> Result<LedgerResponse, LedgerError> {
        let now = self.state.now();
        self.lock().handle_request(request, now)
    }

    /// Acquires and renews the lease on the zone's share and updates the shares,
    /// in a loop.
    pub(crate) async fn run(&self) {
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.apply_documents();
            let Some(rank) = self.rank() else {
                continue;
            };
            if rank < CANDIDATES || self.lock().is_holder() {
                self.step(rank).await;
            }
        }
    }

    /// Watches the share records in a loop while this agent holds the lease on its
    /// zone's share.
    pub(crate) async fn watch_shares(&self) {
        let mut after = 0;
        loop {
            if !self.lock().is_holder() {
                sleep(HOLDER_CHECK_INTERVAL).await;
                continue;
            }
            let response = self
                .platform
                .watch_objects(ObjectKind::Budget, after, SHARES_WAIT)
                .await;
            let Ok(list) = response else {
                sleep(HOLDER_CHECK_INTERVAL).await;
                continue;
            };
            after = list.revision;
            for object in &list.objects {
                self.apply_shares(object);
            }
        }
    }

    /// Releases the lease on the zone's share, waiting at most `LEAVE_TIMEOUT`.
    pub(crate) async fn leave(&self) {
        self.lock().leave();
        let _ = timeout(LEAVE_TIMEOUT, self.wait_for_release()).await;
    }

    async fn wait_for_release(&self) {
        while self.lock().is_holder() {
            self.step(0).await;
            sleep(STEP_INTERVAL).await;
        }
    }

    fn apply_documents(&self) {
        let now = self.state.now();
        let mut ledgers = self.lock();
        self.state.read(|known| {
            if !ledgers.start_revision(known.revision) {
                return;
            }
            for known in known.documents() {
                ledgers.set_document(known.version, &known.document, now);
            }
        });
    }

    /// Returns the rank of this agent among the agents of its zone.
    fn rank(&self) -> Option<u32> {
        let now = self.state.now();
        let own = &self.state.instance;
        let ranked = self
            .state
            .read(|known| rank_zone(known, &self.state.zone, Some(own), now));
        let rank = ranked.iter().position(|member| member == own)?;
        u32::try_from(rank).ok()
    }

    async fn step(&self, rank: u32) {
        if self.is_read_due(rank) && self.read_lease().await.is_err() {
            return;
        }
        let now = self.state.now();
        let writes = self.lock().next_writes(rank, now);
        for write in writes {
            if let Err(error) = self.send(&write).await {
                log::debug!("budget record update failed: {error}");
                return;
            }
        }
    }

    /// Returns whether the lease record has to be read.
    ///
    /// Until the record is known, every candidate reads it at intervals. After that
    /// only the agent of rank 0 does, which acquires the lease once it is free.
    fn is_read_due(&self, rank: u32) -> bool {
        let now = self.state.now();
        let mut ledgers = self.lock();
        if ledgers.is_lease_known() && (rank > 0 || ledgers.is_holder()) {
            return false;
        }
        ledgers.start_read(now)
    }

    async fn send(&self, write: &EscrowWrite) -> Result<(), PlatformError> {
        let (kind, name, expected, value) = match write {
            EscrowWrite::Lease(lease) => {
                let value = serde_json::to_value(&lease.record);
                (
                    ObjectKind::Lease,
                    self.state.zone.as_str(),
                    lease.expected,
                    value,
                )
            }
            EscrowWrite::Shares { service, write } => {
                let value = serde_json::to_value(&write.record);
                (ObjectKind::Budget, service.as_str(), write.expected, value)
            }
        };
        let operation = format!("{}:{kind}:{expected}", self.claimant);
        let update = ObjectUpdate {
            expected_version: expected,
            operation_id: operation
                .parse()
                .map_err(|_| PlatformError::InvalidResponse)?,
            value: value.map_err(|_| PlatformError::InvalidResponse)?,
        };
        let outcome = self.platform.put_object(kind, name, &update).await?;
        match outcome {
            PutOutcome::Accepted(version) => {
                let now = self.state.now();
                self.lock().on_accepted(write, version, now);
                Ok(())
            }
            PutOutcome::Conflict { .. } => self.reread(kind, name).await,
        }
    }

    async fn reread(&self, kind: ObjectKind, name: &str) -> Result<(), PlatformError> {
        if kind == ObjectKind::Lease {
            return self.read_lease().await;
        }
        if let Some(object) = self.platform.get_object(kind, name).await? {
            self.apply_shares(&object);
        }
        Ok(())
    }

    async fn read_lease(&self) -> Result<(), PlatformError> {
        let zone = self.state.zone.as_str();
        let found = self.platform.get_object(ObjectKind::Lease, zone).await?;
        let now = self.state.now();
        if let Some(object) = found {
            let record = read_value(&object).ok_or(PlatformError::InvalidResponse)?;
            self.lock().on_lease(object.version, &record, now);
        }
        Ok(())
    }

    fn apply_shares(&self, object: &StoredObject) {
        let service = object.name.parse();
        if let (Ok(service), Some(record)) = (service, read_value(object)) {
            self.lock().on_shares(&service, object.version, record);
        }
    }

    fn lock(&self) -> MutexGuard<'_, EscrowLedgers> {
        self.ledgers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_value<T: DeserializeOwned>(object: &StoredObject) -> Option<T> {
    T::deserialize(&object.value).ok()
}
