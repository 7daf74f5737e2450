use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mustardhinge_config::document::{CustomerEntry, ServiceDocument};
use mustardhinge_core::budget::lease::{HolderId, LeaseManager, LeaseRecord, LeaseTerms};
use mustardhinge_core::budget::zone::{BudgetRecord, ZoneLedger};
use mustardhinge_core::budget::{BudgetLimit, LedgerError, LedgerResponse, RequestAmount};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::BudgetRequest;

use super::escrow_write::EscrowWrite;

/// Interval between two reads of a lease record that names another holder.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// The lease on a zone's share and the ledgers that are valid under it.
pub(super) struct EscrowLedgers {
    zone: ZoneId,
    holder: HolderId,
    lease: LeaseManager,
    services: BTreeMap<ServiceId, ServiceLedger>,
    read_due_at: MonotonicTime,
    applied_revision: u64,
}

struct ServiceLedger {
    version: DocumentVersion,
    zones: Vec<ZoneId>,
    ledger: ZoneLedger,
}

impl EscrowLedgers {
    /// Creates the ledgers of an agent that has just started and holds no lease.
    pub(super) fn new(zone: ZoneId, holder: HolderId) -> Self {
        Self {
            zone,
            lease: LeaseManager::new(holder.clone(), LeaseTerms::default()),
            holder,
            services: BTreeMap::new(),
            read_due_at: MonotonicTime::default(),
            applied_revision: 0,
        }
    }

    /// Records a revision of the state and returns whether it differs from the last
    /// one.
    pub(super) fn start_revision(&mut self, revision: u64) -> bool {
        let is_new = self.applied_revision != revision;
        self.applied_revision = revision;
        is_new
    }

    /// Applies the limits and zones of a current document.
    pub(super) fn set_document(
        &mut self,
        version: DocumentVersion,
        document: &ServiceDocument,
        now: MonotonicTime,
    ) {
        let service = document.service.clone();
        let service_ledger = self
            .services
            .entry(service)
            .or_insert_with(|| ServiceLedger {
                version: DocumentVersion::default(),
                zones: Vec::new(),
                ledger: ZoneLedger::new(self.zone.clone()),
            });
        if service_ledger.version == version {
            return;
        }
        service_ledger.version = version;
        service_ledger.zones = target_zones(document);
        let limit = |customer: &CustomerEntry| {
            let limit = BudgetLimit::new(customer.rate, customer.burst);
            (customer.name.clone(), limit)
        };
        service_ledger
            .ledger
            .set_limits(document.customers.iter().map(limit), now);
    }

    /// Handles a lease record read from the store.
    pub(super) fn on_lease(
        &mut self,
        version: DocumentVersion,
        record: &LeaseRecord,
        now: MonotonicTime,
    ) {
        self.lease.on_record(version, record, now);
    }

    /// Handles a record of a service's shares read from the store.
    pub(super) fn on_shares(
        &mut self,
        service: &ServiceId,
        version: DocumentVersion,
        record: BudgetRecord,
    ) {
        let Some(service_ledger) = self.services.get_mut(service) else {
            return;
        };
        if let Err(error) = service_ledger.ledger.on_record(version, record) {
            log::error!("service={service} shares={error}");
        }
    }

    /// Handles the store's confirmation of an update.
    pub(super) fn on_accepted(
        &mut self,
        write: &EscrowWrite,
        version: DocumentVersion,
        now: MonotonicTime,
    ) {
        match write {
            EscrowWrite::Lease(_) => self.lease.on_accepted(version, now),
            EscrowWrite::Shares { service, write } => {
                self.on_shares(service, version, write.record.clone());
            }
        }
    }

    /// Returns the updates to send now.
    pub(super) fn next_writes(&mut self, rank: u32, now: MonotonicTime) -> Vec<EscrowWrite> {
        let is_idle = self.is_idle(now);
        let lease = self.lease.step(rank, is_idle, now);
        let validity = self.lease.validity(now);
        let mut writes: Vec<_> = lease.into_iter().map(EscrowWrite::Lease).collect();
        for (service, service_ledger) in &mut self.services {
            let write = service_ledger
                .ledger
                .step(validity, &service_ledger.zones, now);
            writes.extend(write.map(|write| EscrowWrite::Shares {
                service: service.clone(),
                write,
            }));
        }
        writes
    }

    /// Handles a budget request of an entry.
    pub(super) fn handle_request(
        &mut self,
        request: &BudgetRequest,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        let validity = self.lease.validity(now);
        let service_ledger = self.services.get_mut(&request.service);
        let service_ledger = service_ledger.ok_or(LedgerError::NotHolder)?;
        service_ledger
            .ledger
            .handle_request(&request.customer, &request.ask, validity, now)
    }

    /// Requests the release of the lease as soon as no grants are outstanding.
    pub(super) fn leave(&mut self) {
        self.lease.leave();
    }

    /// Returns whether the last known lease record names this agent as the holder.
    pub(super) fn is_holder(&self) -> bool {
        let record = self.lease.get_record();
        record.is_some_and(|record| record.holder.as_ref() == Some(&self.holder))
    }

    /// Returns whether a read of the lease record is due; if so, schedules the next
    /// one `READ_INTERVAL` later.
    pub(super) fn start_read(&mut self, now: MonotonicTime) -> bool {
        let is_due = self.read_due_at <= now;
        if is_due {
            self.read_due_at = now + READ_INTERVAL;
        }
        is_due
    }

    /// Returns whether the lease record is known.
    pub(super) fn is_lease_known(&self) -> bool {
        self.lease.get_record().is_some()
    }

    fn is_idle(&mut self, now: MonotonicTime) -> bool {
        let ledgers = self.services.values_mut();
        ledgers
            .map(|service_ledger| service_ledger.ledger.outstanding(now))
            .sum::<RequestAmount>()
            == RequestAmount::ZERO
    }
}

fn target_zones(document: &ServiceDocument) -> Vec<ZoneId> {
    let targets = document.group.targets.iter();
    let zones: BTreeSet<_> = targets.map(|target| target.zone.clone()).collect();
    zones.into_iter().collect()
}
