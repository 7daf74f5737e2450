//! A simulated agent, with the lease of its zone and the ledgers kept under it.

use std::time::Duration;

use mustardhinge_core::budget::lease::{HolderId, LeaseManager, LeaseTerms, LeaseValidity};
use mustardhinge_core::budget::zone::ZoneLedger;
use mustardhinge_core::budget::{LedgerError, LedgerRequest, LedgerResponse, RequestAmount};
use mustardhinge_core::prelude::*;

use super::event::{StoreCall, StoreResponse};
use super::faults::InjectedFault;
use super::skewed_clock::SkewedClock;

pub(super) struct Agent {
    pub(super) zone: usize,
    pub(super) incarnation: u64,
    pub(super) clock: SkewedClock,
    pub(super) paused_until: u64,
    pub(super) total_pause: u64,
    pub(super) adopted: usize,
    manager: LeaseManager,
    ledger: ZoneLedger,
    zones: Vec<ZoneId>,
    injected: InjectedFault,
}

impl Agent {
    pub(super) fn new(
        zone: usize,
        holder: HolderId,
        zones: Vec<ZoneId>,
        terms: LeaseTerms,
        injected: InjectedFault,
    ) -> Self {
        Self {
            zone,
            incarnation: holder.incarnation,
            clock: SkewedClock::default(),
            paused_until: 0,
            total_pause: 0,
            adopted: 0,
            manager: LeaseManager::new(holder, terms),
            ledger: ZoneLedger::new(zones[zone].clone()),
            zones,
            injected,
        }
    }

    pub(super) const fn ledger_mut(&mut self) -> &mut ZoneLedger {
        &mut self.ledger
    }

    /// Releases the share before a planned stop.
    pub(super) const fn leave(&mut self) {
        self.manager.leave();
    }

    pub(super) fn on_store(&mut self, response: StoreResponse, now: MonotonicTime) {
        if let Some((version, record)) = response.lease {
            self.manager.on_record(version, &record, now);
        }
        if let Some((version, record)) = response.budget {
            self.ledger
                .on_record(version, record)
                .expect("a valid record");
        }
    }

    /// Returns the next calls to the store; `rank` is the position in the zone.
    pub(super) fn tick(&mut self, rank: u32, now: MonotonicTime) -> Vec<StoreCall> {
        let validity = self.validity(now);
        let is_idle = self.ledger.outstanding(now) == RequestAmount::ZERO;
        let manager_now = match self.injected {
            InjectedFault::EarlyTakeover => now + Duration::from_secs(60),
            _ => now,
        };
        let lease = self.manager.step(rank, is_idle, manager_now);
        let budget = self.ledger.step(validity, &self.zones, now);
        let lease = lease.map(|write| StoreCall::WriteLease(write.expected, write.record));
        let budget = budget.map(|write| StoreCall::WriteBudget(write.expected, write.record));
        let calls: Vec<_> = lease.into_iter().chain(budget).collect();
        if calls.is_empty() {
            vec![StoreCall::Read]
        } else {
            calls
        }
    }

    pub(super) fn handle_request(
        &mut self,
        customer: &CustomerId,
        request: &LedgerRequest,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        let validity = self.validity(now);
        self.ledger.handle_request(customer, request, validity, now)
    }

    pub(super) fn validity(&self, now: MonotonicTime) -> Option<LeaseValidity> {
        let read_at = match self.injected {
            InjectedFault::LeaseExpiryIgnored => now - Duration::from_micros(self.total_pause),
            _ => now,
        };
        let validity = self.manager.validity(read_at);
        match self.injected {
            InjectedFault::LeaseExpiryIgnored => validity.map(|validity| LeaseValidity {
                flexible_until: validity.flexible_until + Duration::from_micros(self.total_pause),
                floor_until: validity
                    .floor_until
                    .map(|end| end + Duration::from_micros(self.total_pause)),
                ..validity
            }),
            InjectedFault::HolderByMembership => self.manager.get_record().map(|record| {
                let forever = MonotonicTime::from_micros(u64::MAX);
                LeaseValidity {
                    epoch: record.epoch,
                    flexible_until: forever,
                    floor_until: Some(forever),
                }
            }),
            _ => validity,
        }
    }
}
