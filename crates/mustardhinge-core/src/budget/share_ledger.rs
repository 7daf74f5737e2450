use std::collections::BTreeMap;
use std::time::Duration;

use super::client_row::ClientRow;
use super::{
    BudgetAnswer, BudgetAsk, BudgetLimit, ClientId, LedgerError, RequestAmount, TokenBucket,
};
use crate::units::MonotonicTime;

/// The ledger of one share of a customer's rate and burst.
///
/// Lends requests to entries. Requests that are lent stay part of the burst until
/// the entry reports them spent, gives them back, or can no longer use them.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    epoch: u64,
    bucket: TokenBucket,
    clients: BTreeMap<ClientId, ClientRow>,
}

impl ShareLedger {
    /// How long lent requests may be used, in milliseconds.
    pub const GRANT_VALID_MS: u32 = 1_000;
    /// The longest time to come back that is ever told, in milliseconds.
    const MAX_RETRY_MS: u32 = 60_000;
    /// What makes it worth to ask again: a quarter of a request, since other zones
    /// lend the rest.
    const LEAST_LOAN: RequestAmount = RequestAmount::from_millis(250);
    /// The part of a lapse that is added for clocks that run at different speeds,
    /// as one over this.
    const CLOCK_MARGIN: u32 = 16;

    /// Returns the time after which a grant can't be used, by whatever clock.
    #[must_use]
    pub const fn lapse_time() -> Duration {
        let margin_ms = Self::GRANT_VALID_MS / Self::CLOCK_MARGIN;
        Duration::from_millis((Self::GRANT_VALID_MS + margin_ms) as u64)
    }

    /// Starts an empty ledger.
    ///
    /// `epoch` must be greater than that of any ledger of the share before it, and
    /// everything that those lent must have lapsed.
    #[must_use]
    pub const fn empty(epoch: u64, limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            epoch,
            bucket: TokenBucket::empty(limit, now),
            clients: BTreeMap::new(),
        }
    }

    /// Changes the limit of the share.
    pub fn set_limit(&mut self, limit: BudgetLimit, now: MonotonicTime) {
        if limit != self.bucket.get_limit() {
            self.bucket.set_limit(limit, now);
        }
    }

    /// Answers an entry.
    ///
    /// While more is lent out than the burst of a limit that has become lower, no
    /// answer lends or puts a lapse off, so that the lower limit holds once a grant
    /// has had time to lapse.
    ///
    /// # Errors
    ///
    /// Fails if a later message of the same entry was answered before.
    pub fn answer(
        &mut self,
        ask: &BudgetAsk,
        now: MonotonicTime,
    ) -> Result<BudgetAnswer, LedgerError> {
        self.write_off_lapsed(now);
        let row = self
            .clients
            .entry(ask.client.clone())
            .or_insert_with(|| ClientRow::new(ask.spent_total, now));
        if let Some(answer) = row.recorded_answer(ask.sequence) {
            return Ok(answer);
        }
        let newest = row.newest_sequence();
        if ask.sequence < newest {
            let sequence = ask.sequence;
            return Err(LedgerError::StaleSequence { sequence, newest });
        }
        let report = row.take_report(ask, ask.ledger_epoch == self.epoch);
        self.bucket.write_off(report.spent, now);
        self.bucket.take_back(report.returned, now);
        Ok(self.lend(ask, now))
    }

    /// Returns what is lent out and may still be used.
    pub fn lent(&mut self, now: MonotonicTime) -> RequestAmount {
        self.write_off_lapsed(now);
        self.bucket.get_lent()
    }

    /// Returns what could be lent now.
    pub fn available(&mut self, now: MonotonicTime) -> RequestAmount {
        self.write_off_lapsed(now);
        self.bucket.available(now)
    }

    /// Returns the limit of the share.
    #[must_use]
    pub const fn get_limit(&self) -> BudgetLimit {
        self.bucket.get_limit()
    }

    /// Returns the epoch of the ledger.
    #[must_use]
    pub const fn get_epoch(&self) -> u64 {
        self.epoch
    }

    fn lend(&mut self, ask: &BudgetAsk, now: MonotonicTime) -> BudgetAnswer {
        let is_overlent = self.bucket.is_overlent();
        let amount = self.amount_for(ask, now);
        let granted = self.bucket.lend(amount, now);
        let answer = BudgetAnswer {
            ledger_epoch: self.epoch,
            sequence: ask.sequence,
            granted,
            available: self.bucket.available(now),
            valid_ms: if is_overlent { 0 } else { Self::GRANT_VALID_MS },
            retry_after_ms: self.retry_after_ms(now),
        };
        if let Some(row) = self.clients.get_mut(&ask.client) {
            let renewed = now + Self::lapse_time();
            let lapses_at = if is_overlent { row.lapses_at } else { renewed };
            row.record_answer(answer, lapses_at);
        }
        answer
    }

    /// Requests that wait are served from all there is, also in fractions; what is
    /// wanted ahead of need only from the half that then remains, in whole requests.
    fn amount_for(&mut self, ask: &BudgetAsk, now: MonotonicTime) -> RequestAmount {
        let available = self.bucket.available(now);
        let waiting = ask.waiting.min(available);
        let ahead = ask.wanted.saturating_sub(ask.waiting);
        let spare = available.saturating_sub(waiting).half();
        waiting.saturating_add(ahead.min(spare).without_fraction())
    }

    fn retry_after_ms(&mut self, now: MonotonicTime) -> u32 {
        let refill = self.bucket.time_to(Self::LEAST_LOAN, now);
        let lapse = self.next_lapse(now);
        let soonest = refill.into_iter().chain(lapse).min();
        let millis = soonest.map_or(u128::MAX, |time| time.as_micros().div_ceil(1_000));
        let millis = u32::try_from(millis).unwrap_or(u32::MAX);
        millis.clamp(1, Self::MAX_RETRY_MS)
    }

    fn next_lapse(&self, now: MonotonicTime) -> Option<Duration> {
        self.clients
            .values()
            .filter(|row| row.lent > RequestAmount::ZERO)
            .map(|row| row.lapses_at.saturating_since(now))
            .min()
    }

    /// Forgets entries whose requests have lapsed. Whether they were spent is
    /// unknown, so they count as spent.
    fn write_off_lapsed(&mut self, now: MonotonicTime) {
        let bucket = &mut self.bucket;
        self.clients.retain(|_, row| {
            if now < row.lapses_at {
                return true;
            }
            bucket.write_off(row.lent, now);
            false
        });
    }
}
