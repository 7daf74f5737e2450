use std::collections::BTreeMap;

use super::customer_book::CustomerBook;
use super::move_planner::MovePlanner;
use super::{BudgetRecord, RecordError, RecordWrite, ZoneShare};
use crate::budget::lease::LeaseValidity;
use crate::budget::{
    BudgetLimit, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, ShareLedger, ShareParts,
};
use crate::ids::{CustomerId, ZoneId};
use crate::units::{DocumentVersion, MonotonicTime};

/// What decides which parts the ledgers may lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PartsBasis {
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
    books: BTreeMap<CustomerId, CustomerBook>,
    open_epoch: u64,
    limits_revision: u64,
    applied: Option<PartsBasis>,
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
            books: BTreeMap::new(),
            open_epoch: 0,
            limits_revision: 0,
            applied: None,
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
        for (customer, book) in &mut self.books {
            let whole = self.limits.get(customer).copied().unwrap_or_default();
            book.set_whole(whole);
        }
        if self.open_epoch > 0 {
            self.open_books(now);
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
        self.apply_parts(validity, now);
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
        let parts = validity
            .and_then(|validity| self.usable_parts(customer, validity, now))
            .ok_or(LedgerError::NotHolder)?;
        let book = self.books.get_mut(customer);
        let book = book.ok_or(LedgerError::UnknownCustomer)?;
        book.set_parts(parts, now);
        book.handle_request(request, now)
    }

    /// Returns what is lent out of all customers' ledgers and may be used.
    pub fn outstanding(&mut self, now: MonotonicTime) -> RequestAmount {
        self.books
            .values_mut()
            .map(|book| book.outstanding(now))
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
        self.books.clear();
        self.applied = None;
        self.pending = None;
        self.open_epoch = epoch;
        self.open_books(now);
    }

    fn open_books(&mut self, now: MonotonicTime) {
        for (customer, whole) in &self.limits {
            self.books
                .entry(customer.clone())
                .or_insert_with(|| CustomerBook::open(self.open_epoch, *whole, now));
        }
    }

    /// Sets the parts of all ledgers after a change, so that those that nobody
    /// asks fill up meanwhile.
    fn apply_parts(&mut self, validity: LeaseValidity, now: MonotonicTime) {
        if self.open_epoch != validity.epoch {
            return;
        }
        let basis = PartsBasis {
            version: self.get_version(),
            limits_revision: self.limits_revision,
            has_floor: has_floor(validity, now),
            has_flexible: has_flexible(validity, now),
            has_pending: self.pending.is_some(),
        };
        if self.applied.replace(basis) == Some(basis) {
            return;
        }
        let parts = |customer| self.usable_parts(customer, validity, now);
        let parts: Vec<_> = self.books.keys().map(parts).collect();
        for (book, parts) in self.books.values_mut().zip(parts) {
            book.set_parts(parts.unwrap_or_default(), now);
        }
    }

    /// Returns the parts of a customer that may be lent now: those whose lease
    /// outlasts whatever is lent on it.
    fn usable_parts(
        &self,
        customer: &CustomerId,
        validity: LeaseValidity,
        now: MonotonicTime,
    ) -> Option<ShareParts> {
        let share = self.own_share()?;
        match (has_floor(validity, now), has_flexible(validity, now)) {
            (true, true) => share.floor.checked_add(self.flexible_of(customer)?),
            (true, false) => Some(share.floor),
            (false, true) => self.flexible_of(customer),
            (false, false) => None,
        }
    }

    /// Returns the flexible part of a customer, less what is on its way out.
    fn flexible_of(&self, customer: &CustomerId) -> Option<ShareParts> {
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
            .map_or(ShareParts::NONE, |_| share.floor);
        let moves = MovePlanner::plan(&self.zone, share, floor, &mut self.books, now);
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
