use std::time::Duration;

use super::{ClientId, LedgerRequest, LedgerResponse, RequestAmount};
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// A request without a response so far.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sequence: u64,
    sent_at: MonotonicTime,
    waiting: RequestAmount,
}

impl PendingRequest {
    /// Returns whether `granted` leaves requests waiting.
    fn is_short(&self, granted: RequestAmount) -> bool {
        granted < self.waiting
    }
}

/// The amounts of the next request to a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestedAmounts {
    pub(crate) held: RequestAmount,
    pub(crate) waiting: RequestAmount,
    pub(crate) wanted: RequestAmount,
}

/// The state that an entry keeps for the ledger of one zone.
#[derive(Clone, Debug)]
pub(crate) struct LedgerAccount {
    zone: ZoneId,
    epoch: u64,
    next_sequence: u64,
    held: RequestAmount,
    usable_until: MonotonicTime,
    spent_total: RequestAmount,
    reported_total: RequestAmount,
    last_request_at: MonotonicTime,
    pending: Option<PendingRequest>,
    backoff_until: MonotonicTime,
    prefetch_from: MonotonicTime,
    /// The amount available in the ledger according to its last response.
    available: RequestAmount,
    last_response_at: MonotonicTime,
}

impl LedgerAccount {
    /// How long spent requests stay unreported if the ledger runs low.
    const REPORT_DELAY: Duration = Duration::from_millis(10);
    /// Spent requests are reported promptly if the ledger has less than this available.
    const PROMPT_REPORT_BELOW: RequestAmount = RequestAmount::from_requests(10);
    /// How long the available amount of the last response is used as an estimate.
    const ESTIMATE_MAX_AGE: Duration = Duration::from_millis(300);

    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            epoch: 0,
            next_sequence: 1,
            held: RequestAmount::ZERO,
            usable_until: MonotonicTime::default(),
            spent_total: RequestAmount::ZERO,
            reported_total: RequestAmount::ZERO,
            last_request_at: MonotonicTime::default(),
            pending: None,
            backoff_until: MonotonicTime::default(),
            prefetch_from: MonotonicTime::default(),
            available: RequestAmount::MAX,
            last_response_at: MonotonicTime::default(),
        }
    }

    pub(crate) const fn get_zone(&self) -> &ZoneId {
        &self.zone
    }

    pub(crate) const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    pub(crate) fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Returns an estimate of the amount available in the ledger; the greatest amount if
    /// it is unknown.
    pub(crate) fn estimated_available(&self, now: MonotonicTime) -> RequestAmount {
        if now.saturating_since(self.last_response_at) < Self::ESTIMATE_MAX_AGE {
            self.available
        } else {
            RequestAmount::MAX
        }
    }

    /// Returns whether to report spent requests without waiting for the next grant
    /// request.
    ///
    /// Unreported requests count as outstanding and keep a ledger that runs low from
    /// refilling.
    pub(crate) fn should_report(&self, now: MonotonicTime) -> bool {
        let is_unreported = self.spent_total > self.reported_total;
        let is_due = now.saturating_since(self.last_request_at) >= Self::REPORT_DELAY;
        is_unreported && is_due && self.available < Self::PROMPT_REPORT_BELOW
    }

    /// Returns whether budget can be prefetched from the ledger now.
    pub(crate) fn may_prefetch(&self, now: MonotonicTime) -> bool {
        !self.is_pending() && !self.is_backing_off(now) && now >= self.prefetch_from
    }

    pub(crate) const fn get_backoff_until(&self) -> MonotonicTime {
        self.backoff_until
    }

    /// Returns the amount held that has not expired.
    pub(crate) fn usable(&self, now: MonotonicTime) -> RequestAmount {
        if now < self.usable_until {
            self.held
        } else {
            RequestAmount::ZERO
        }
    }

    /// Spends up to `wanted` and returns the amount spent.
    pub(crate) fn spend(&mut self, wanted: RequestAmount, now: MonotonicTime) -> RequestAmount {
        let spent = wanted.min(self.usable(now));
        self.held = self.held.saturating_sub(spent);
        self.spent_total = self.spent_total.saturating_add(spent);
        spent
    }

    /// Creates the next request and drops any held amount above `amounts.held`.
    pub(crate) fn make_request(
        &mut self,
        client: &ClientId,
        own_zone: &ZoneId,
        amounts: RequestedAmounts,
        now: MonotonicTime,
    ) -> LedgerRequest {
        self.held = self.usable(now).min(amounts.held);
        self.reported_total = self.spent_total;
        self.last_request_at = now;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending = Some(PendingRequest {
            sequence,
            sent_at: now,
            waiting: amounts.waiting,
        });
        LedgerRequest {
            client: client.clone(),
            zone: own_zone.clone(),
            ledger_epoch: self.epoch,
            sequence,
            spent_total: self.spent_total,
            held: self.held,
            waiting: amounts.waiting,
            wanted: amounts.wanted,
        }
    }

    /// Handles a response. Ignores it if the request is no longer pending.
    pub(crate) fn on_response(&mut self, response: &LedgerResponse, now: MonotonicTime) {
        let Some(pending) = self.take_pending(response.sequence) else {
            return;
        };
        self.held = self.usable(now);
        if response.ledger_epoch != self.epoch {
            self.epoch = response.ledger_epoch;
            self.held = RequestAmount::ZERO;
            self.spent_total = RequestAmount::ZERO;
            self.reported_total = RequestAmount::ZERO;
        }
        self.held = self.held.saturating_add(response.granted);
        self.usable_until = pending.sent_at + millis(response.valid_ms);
        self.available = response.available;
        self.last_response_at = now;
        let retry_at = now + millis(response.retry_after_ms);
        if pending.is_short(response.granted) {
            self.backoff_until = retry_at;
        }
        if response.granted == RequestAmount::ZERO {
            self.prefetch_from = retry_at;
        }
    }

    /// Handles a request that failed or timed out. The ledger gets no further request
    /// for the time of `backoff`.
    pub(crate) fn on_failure(&mut self, sequence: u64, backoff: Duration, now: MonotonicTime) {
        if self.take_pending(sequence).is_some() {
            self.backoff_until = now + backoff;
        }
    }

    fn take_pending(&mut self, sequence: u64) -> Option<PendingRequest> {
        self.pending.take_if(|pending| pending.sequence == sequence)
    }
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}
