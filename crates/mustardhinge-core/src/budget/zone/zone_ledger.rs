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

/// What decides which parts the ledgers may lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FractionInputs {
    version: DocumentVersion,
    limits_revision: u64,
    has_floor: bool,
    has_flexible: bool,
    has_pending: bool,
}

/// The ledgers of one zone's share of one service, kept by the zone's holder.
///
/// The holder first claims the share in the record under the epoch of its lease,
/// so that no change that an earlier holder sent can take effect afterwards. A
/// part that moves to another zone is taken off the own share before the change
/// is sent, and stays off until a newer record shows what became of it.
#[derive(Clone, Debug)]
pub struct ZoneLedger {
    zone: ZoneId,
    limits: BTreeMap<CustomerId, BudgetLimit>,
    record: Option<(DocumentVersion, BudgetRecord)>,
    /// The record that was sent with parts moved away, until it is settled.
    pending: Option<RecordWrite>,
    ledgers: BTreeMap<CustomerId, CustomerLedger>,
    open_epoch: u64,
    limits_revision: u64,
    applied_inputs: Option<FractionInputs>,
    planner: MovePlanner,
}

impl ZoneLedger {
    /// Makes the ledger of an agent that has just started.
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

    /// Takes the customers' rates and bursts from the document in force.
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

    /// Takes the record as read from the store, from a watch or from a conflict;
    /// an older one than the last is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the record shares out more than the whole; it is not used.
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
        // Any newer record settles the moves: either it shows them, or the version
        // that they expect is gone for good.
        self.pending = None;
        Ok(())
    }

    /// Returns the write to send now, if any: the claim of the share, or a move of
    /// parts to a zone that borrows them all the time.
    ///
    /// `zones` are the zones to share between if there is no record yet.
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

    /// Answers an entry.
    ///
    /// # Errors
    ///
    /// Fails if the share is not held here, the customer is unknown, or a later
    /// message of the same entry was answered before.
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

    /// Returns what is lent out of all customers' ledgers and may be used.
    pub fn outstanding(&mut self, now: MonotonicTime) -> RequestAmount {
        self.ledgers
            .values_mut()
            .map(|ledger| ledger.outstanding(now))
            .sum()
    }

    /// Returns the version of the newest record seen; 0 before the first.
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

    /// Opens empty books once all that was lent under an earlier lease has lapsed.
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

    /// Sets the parts of all ledgers after a change, so that those that nobody
    /// asks fill up meanwhile.
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

    /// Returns the parts of a customer that may be lent now: those whose lease
    /// outlasts whatever is lent on it.
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

    /// Returns the flexible part of a customer, less what is on its way out.
    fn flexible_of(&self, customer: &CustomerId) -> Option<ShareFraction> {
        let recorded = self.own_share()?.flexible_of(customer);
        let pending = self.pending.as_ref();
        let sent = pending.and_then(|write| write.record.zones.get(&self.zone));
        let sent = sent.map_or(recorded, |share| share.flexible_of(customer));
        Some(recorded.min(sent))
    }

    /// Plans moves, and takes what moves off the own ledgers.
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

/// Returns whether the lease of the flexible part outlasts what is lent now.
fn has_flexible(validity: LeaseValidity, now: MonotonicTime) -> bool {
    now + ShareLedger::max_grant_lifetime() <= validity.flexible_until
}

/// Returns whether the lease of the floor outlasts what is lent now.
fn has_floor(validity: LeaseValidity, now: MonotonicTime) -> bool {
    let expires_at = now + ShareLedger::max_grant_lifetime();
    validity.floor_until.is_some_and(|end| expires_at <= end)
}
