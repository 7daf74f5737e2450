use std::collections::BTreeMap;
use std::time::Duration;

use super::client_state::ClientState;
use super::{
    BudgetLimit, ClientId, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, TokenBucket,
};
use crate::units::MonotonicTime;

/// The ledger of one share of a customer's rate and burst.
///
/// Grants requests to entries. A grant counts against the burst until the entry
/// reports it spent, returns it, or it expires.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    epoch: u64,
    bucket: TokenBucket,
    clients: BTreeMap<ClientId, ClientState>,
}

impl ShareLedger {
    /// How long a grant is valid, in milliseconds.
    pub const GRANT_VALID_MS: u32 = 1_000;
    /// The upper bound of the retry delay in a response, in milliseconds.
    const MAX_RETRY_AFTER_MS: u32 = 60_000;
    /// The smallest amount worth a retry: a quarter of a request, since other zones grant
    /// the rest.
    const MIN_GRANT: RequestAmount = RequestAmount::from_millis(250);
    /// Divisor of the grant validity; the quotient is the margin for clocks that run at
    /// different speeds.
    const CLOCK_MARGIN_DIVISOR: u32 = 16;

    /// Returns the time after which a grant has expired by any clock.
    #[must_use]
    pub const fn max_grant_lifetime() -> Duration {
        let margin_ms = Self::GRANT_VALID_MS / Self::CLOCK_MARGIN_DIVISOR;
        Duration::from_millis((Self::GRANT_VALID_MS + margin_ms) as u64)
    }

    /// Creates an empty ledger.
    ///
    /// `epoch` must be greater than that of any earlier ledger of the share, and all
    /// grants of earlier ledgers must have expired.
    #[must_use]
    pub const fn empty(epoch: u64, limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            epoch,
            bucket: TokenBucket::empty(limit, now),
            clients: BTreeMap::new(),
        }
    }

    /// Sets the limit of the share.
    pub fn set_limit(&mut self, limit: BudgetLimit, now: MonotonicTime) {
        if limit != self.bucket.get_limit() {
            self.bucket.set_limit(limit, now);
        }
    }

    /// Handles the request of an entry.
    ///
    /// While more than the burst is outstanding after the limit was lowered, a response
    /// neither grants requests nor extends earlier grants. The lower limit thus holds
    /// once the earlier grants have expired.
    ///
    /// # Errors
    ///
    /// Returns an error if a later request of the same entry was handled before.
    pub fn handle_request(
        &mut self,
        request: &LedgerRequest,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        self.expire_grants(now);
        let client = self
            .clients
            .entry(request.client.clone())
            .or_insert_with(|| ClientState::new(request.spent_total, now));
        if let Some(response) = client.cached_response(request.sequence) {
            return Ok(response);
        }
        let newest = client.newest_sequence();
        if request.sequence < newest {
            let sequence = request.sequence;
            return Err(LedgerError::StaleSequence { sequence, newest });
        }
        let report = client.apply_report(request, request.ledger_epoch == self.epoch);
        self.bucket.mark_spent(report.spent, now);
        self.bucket.return_unused(report.returned, now);
        Ok(self.grant(request, now))
    }

    /// Returns the outstanding amount.
    pub fn outstanding(&mut self, now: MonotonicTime) -> RequestAmount {
        self.expire_grants(now);
        self.bucket.get_outstanding()
    }

    /// Returns the amount that can be granted now.
    pub fn available(&mut self, now: MonotonicTime) -> RequestAmount {
        self.expire_grants(now);
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

    fn grant(&mut self, request: &LedgerRequest, now: MonotonicTime) -> LedgerResponse {
        let is_overcommitted = self.bucket.is_overcommitted();
        let amount = self.grantable_amount(request, now);
        let granted = self.bucket.grant(amount, now);
        let response = LedgerResponse {
            ledger_epoch: self.epoch,
            sequence: request.sequence,
            granted,
            available: self.bucket.available(now),
            valid_ms: if is_overcommitted {
                0
            } else {
                Self::GRANT_VALID_MS
            },
            retry_after_ms: self.retry_after_ms(now),
        };
        if let Some(client) = self.clients.get_mut(&request.client) {
            let renewed_expiry = now + Self::max_grant_lifetime();
            let expires_at = if is_overcommitted {
                client.expires_at
            } else {
                renewed_expiry
            };
            client.record_response(response, expires_at);
        }
        response
    }

    /// Returns the amount to grant.
    ///
    /// Waiting requests get all that is available, including fractions. Prefetch gets at
    /// most half of the rest, in whole requests.
    fn grantable_amount(&mut self, request: &LedgerRequest, now: MonotonicTime) -> RequestAmount {
        let available = self.bucket.available(now);
        let waiting = request.waiting.min(available);
        let prefetch = request.wanted.saturating_sub(request.waiting);
        let spare = available.saturating_sub(waiting).half();
        waiting.saturating_add(prefetch.min(spare).without_fraction())
    }

    fn retry_after_ms(&mut self, now: MonotonicTime) -> u32 {
        let refill = self.bucket.time_until_available(Self::MIN_GRANT, now);
        let expiry = self.next_expiry(now);
        let soonest = refill.into_iter().chain(expiry).min();
        let millis = soonest.map_or(u128::MAX, |time| time.as_micros().div_ceil(1_000));
        let millis = u32::try_from(millis).unwrap_or(u32::MAX);
        millis.clamp(1, Self::MAX_RETRY_AFTER_MS)
    }

    fn next_expiry(&self, now: MonotonicTime) -> Option<Duration> {
        self.clients
            .values()
            .filter(|client| client.outstanding > RequestAmount::ZERO)
            .map(|client| client.expires_at.saturating_since(now))
            .min()
    }

    /// Removes clients whose grants have expired. Expired grants count as spent, since
    /// the ledger does not know whether they were.
    fn expire_grants(&mut self, now: MonotonicTime) {
        let bucket = &mut self.bucket;
        self.clients.retain(|_, client| {
            if now < client.expires_at {
                return true;
            }
            bucket.mark_spent(client.outstanding, now);
            false
        });
    }
}
