use std::collections::BTreeMap;

use super::customer_ledger::CustomerLedger;
use super::move_planner::MovePlanner;
use super::{BudgetRecord, RecordError, RecordWrite, ZoneShare};
use crate::budget::lease::LeaseValidity;
use crate::budget::{
    BudgetLimit, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, ShareFraction,
    ShareLedger,
};
use crate::ids::{CustomerId, ZoneId};
use crate::units::{DocumentVersion, MonotonicTime};

/// The inputs that determine the fractions of the ledgers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FractionInputs {
    version: DocumentVersion,
    limits_revision: u64,
    has_floor: bool,
    has_flexible: bool,
    has_pending: bool,
}

/// The ledgers of a zone's share of one service, kept by the lease holder of the zone.
///
/// The holder first claims the share in the record under the epoch of its lease, so
/// that no write of an earlier holder can take effect afterwards. A part that moves to
/// another zone is subtracted from the own share before the write is sent, and stays
/// subtracted until a newer record shows the outcome.
#[derive(Clone, Debug)]
pub struct ZoneLedger {
    zone: ZoneId,
    limits: BTreeMap<CustomerId, BudgetLimit>,
    record: Option<(DocumentVersion, BudgetRecord)>,
    /// The write of a move in flight, until its outcome is known.
    pending: Option<RecordWrite>,
    ledgers: BTreeMap<CustomerId, CustomerLedger>,
    open_epoch: u64,
    limits_revision: u64,
    applied_inputs: Option<FractionInputs>,
    planner: MovePlanner,
}

impl ZoneLedger {
    /// Creates the ledger of a started agent.
    #[must_use]
    pub const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            limits: BTreeMap::new(),
            record: None,
            pending: None,
            ledgers: BTreeMap::new(),
            open_epoch: 0,
            limits_revision: 0,
            applied_inputs: None,
            planner: MovePlanner::new(),
        }
    }

    /// Sets the customers' rates and bursts from the service document.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (CustomerId, BudgetLimit)>,
        now: MonotonicTime,
    ) {
        self.limits = limits.into_iter().collect();
        self.limits_revision += 1;
        for (customer, ledger) in &mut self.ledgers {
            let whole = self.limits.get(customer).copied().unwrap_or_default();
            ledger.set_whole(whole);
        }
        if self.open_epoch > 0 {
            self.open_ledgers(now);
        }
    }

    /// Handles the stored record, received by a read, a watch or a write conflict.
    /// Ignores a record that is not newer than the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the shares sum to more than the whole. The record is not used.
    pub fn on_record(
        &mut self,
        version: DocumentVersion,
        record: BudgetRecord,
    ) -> Result<(), RecordError> {
        if self.get_version() >= version {
            return Ok(());
        }
        record.check()?;
        self.record = Some((version, record));
        // Any newer record resolves the pending moves: either it contains them, or the
        // version that their write expects has been replaced.
        self.pending = None;
        Ok(())
    }

    /// Returns the write to send now, if any: the claim of the share, or a move to a zone
    /// with lasting demand.
    ///
    /// `zones` are the zones that divide the limits if there is no record yet.
    pub fn step(
        &mut self,
        validity: Option<LeaseValidity>,
        zones: &[ZoneId],
        now: MonotonicTime,
    ) -> Option<RecordWrite> {
        let validity = validity?;
        if self.claimed_epoch() != Some(validity.epoch) {
            return Some(self.claim(validity.epoch, zones));
        }
        if self.open_epoch != validity.epoch {
            self.open(validity.epoch, now);
        }
        if self.pending.is_none() && has_flexible(validity, now) {
            self.pending = self.plan_moves(validity, now);
        }
        self.apply_fractions(validity, now);
        self.pending.clone()
    }

    /// Handles the request of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if this agent does not hold the share, the customer is unknown, or
    /// a later request of the same entry was handled before.
    pub fn handle_request(
        &mut self,
        customer: &CustomerId,
        request: &LedgerRequest,
        validity: Option<LeaseValidity>,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        let validity = validity.filter(|validity| validity.epoch == self.open_epoch);
        let fraction = validity
            .and_then(|validity| self.usable_fraction(customer, validity, now))
            .ok_or(LedgerError::NotHolder)?;
        let ledger = self.ledgers.get_mut(customer);
        let ledger = ledger.ok_or(LedgerError::UnknownCustomer)?;
        ledger.set_fraction(fraction, now);
        ledger.handle_request(request, now)
    }

    /// Returns the outstanding amount of all customers.
    pub fn outstanding(&mut self, now: MonotonicTime) -> RequestAmount {
        self.ledgers
            .values_mut()
            .map(|ledger| ledger.outstanding(now))
            .sum()
    }

    /// Returns the version of the newest record received; 0 before the first.
    #[must_use]
    pub fn get_version(&self) -> DocumentVersion {
        let version = self.record.as_ref().map(|(version, _)| *version);
        version.unwrap_or_default()
    }

    fn own_share(&self) -> Option<&ZoneShare> {
        let (_, record) = self.record.as_ref()?;
        record.zones.get(&self.zone)
    }

    fn claimed_epoch(&self) -> Option<u64> {
        self.own_share().map(|share| share.epoch)
    }

    fn claim(&self, epoch: u64, zones: &[ZoneId]) -> RecordWrite {
        let record = match &self.record {
            Some((_, record)) => record.claimed(&self.zone, epoch),
            None => {
                let own = std::iter::once(&self.zone);
                let zones = zones.iter().chain(own).cloned();
                BudgetRecord::even(zones).claimed(&self.zone, epoch)
            }
        };
        RecordWrite {
            expected: self.get_version(),
            record,
        }
    }

    /// Opens empty ledgers once all grants under an earlier lease have expired.
    fn open(&mut self, epoch: u64, now: MonotonicTime) {
        if self.outstanding(now) > RequestAmount::ZERO {
            return;
        }
        self.ledgers.clear();
        self.applied_inputs = None;
        self.pending = None;
        self.open_epoch = epoch;
        self.open_ledgers(now);
    }

    fn open_ledgers(&mut self, now: MonotonicTime) {
        for (customer, whole) in &self.limits {
            self.ledgers
                .entry(customer.clone())
                .or_insert_with(|| CustomerLedger::open(self.open_epoch, *whole, now));
        }
    }

    /// Sets the fractions of all ledgers after a change, so that ledgers without requests
    /// refill meanwhile.
    fn apply_fractions(&mut self, validity: LeaseValidity, now: MonotonicTime) {
        if self.open_epoch != validity.epoch {
            return;
        }
        let inputs = FractionInputs {
            version: self.get_version(),
            limits_revision: self.limits_revision,
            has_floor: has_floor(validity, now),
            has_flexible: has_flexible(validity, now),
            has_pending: self.pending.is_some(),
        };
        if self.applied_inputs.replace(inputs) == Some(inputs) {
            return;
        }
        let fraction = |customer| self.usable_fraction(customer, validity, now);
        let fractions: Vec<_> = self.ledgers.keys().map(fraction).collect();
        for (ledger, fraction) in self.ledgers.values_mut().zip(fractions) {
            ledger.set_fraction(fraction.unwrap_or_default(), now);
        }
    }

    /// Returns the fraction of a customer's limit that can be granted now: the parts
    /// whose lease outlasts a grant made now.
    fn usable_fraction(
        &self,
        customer: &CustomerId,
        validity: LeaseValidity,
        now: MonotonicTime,
    ) -> Option<ShareFraction> {
        let share = self.own_share()?;
        match (has_floor(validity, now), has_flexible(validity, now)) {
            (true, true) => share.floor.checked_add(self.flexible_of(customer)?),
            (true, false) => Some(share.floor),
            (false, true) => self.flexible_of(customer),
            (false, false) => None,
        }
    }

    /// Returns the flexible part of a customer, less pending moves.
    fn flexible_of(&self, customer: &CustomerId) -> Option<ShareFraction> {
        let recorded = self.own_share()?.flexible_of(customer);
        let pending = self.pending.as_ref();
        let sent = pending.and_then(|write| write.record.zones.get(&self.zone));
        let sent = sent.map_or(recorded, |share| share.flexible_of(customer));
        Some(recorded.min(sent))
    }

    /// Plans moves and subtracts them from the own ledgers.
    fn plan_moves(&mut self, validity: LeaseValidity, now: MonotonicTime) -> Option<RecordWrite> {
        let (version, record) = self.record.as_ref()?;
        let share = record.zones.get(&self.zone)?;
        if !self.planner.start_plan(now) {
            return None;
        }
        let floor = validity
            .floor_until
            .map_or(ShareFraction::NONE, |_| share.floor);
        let moves = MovePlanner::plan(&self.zone, share, floor, &mut self.ledgers, now);
        let moves: Vec<_> = moves
            .into_iter()
            .filter(|share_move| record.zones.contains_key(&share_move.to))
            .collect();
        if moves.is_empty() {
            return None;
        }
        let record = record.moved(&moves).ok()?;
        Some(RecordWrite {
            expected: *version,
            record,
        })
    }
}

/// Returns whether the lease of the flexible part outlasts a grant made now.
fn has_flexible(validity: LeaseValidity, now: MonotonicTime) -> bool {
    now + ShareLedger::max_grant_lifetime() <= validity.flexible_until
}

/// Returns whether the lease of the floor outlasts a grant made now.
fn has_floor(validity: LeaseValidity, now: MonotonicTime) -> bool {
    let expires_at = now + ShareLedger::max_grant_lifetime();
    validity.floor_until.is_some_and(|end| expires_at <= end)
}
