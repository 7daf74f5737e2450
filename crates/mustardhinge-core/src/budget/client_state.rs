use super::{LedgerRequest, LedgerResponse, RequestAmount};
use crate::units::MonotonicTime;

/// The state that a ledger keeps for one incarnation of an entry.
#[derive(Clone, Debug)]
pub(crate) struct ClientState {
    /// The outstanding grants of the entry.
    pub(crate) outstanding: RequestAmount,
    /// When the outstanding grants have expired by any clock of the fleet.
    pub(crate) expires_at: MonotonicTime,
    /// The last total of spent requests that the entry reported.
    spent_total: RequestAmount,
    /// The last response, repeated if the request is received again.
    last_response: Option<LedgerResponse>,
}

/// The change of outstanding grants that a request reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientReport {
    /// The amount spent, or that can't be distinguished from spent requests.
    pub(crate) spent: RequestAmount,
    /// The amount returned unused.
    pub(crate) returned: RequestAmount,
}

impl ClientState {
    /// Creates the state of an entry whose earlier grants, if any, have expired.
    pub(crate) const fn new(spent_total: RequestAmount, now: MonotonicTime) -> Self {
        Self {
            outstanding: RequestAmount::ZERO,
            expires_at: now,
            spent_total,
            last_response: None,
        }
    }

    /// Returns the greatest sequence number received.
    pub(crate) fn newest_sequence(&self) -> u64 {
        self.last_response.map_or(0, |response| response.sequence)
    }

    /// Returns the recorded response if the request is a duplicate.
    pub(crate) fn cached_response(&self, sequence: u64) -> Option<LedgerResponse> {
        self.last_response.filter(|last| last.sequence == sequence)
    }

    /// Applies the report of a new request.
    ///
    /// An amount that the entry neither holds nor has spent is returned. Spent requests
    /// whose grant had expired here are counted twice, which returns less, never more.
    pub(crate) fn apply_report(
        &mut self,
        request: &LedgerRequest,
        is_current_epoch: bool,
    ) -> ClientReport {
        let (held, spent_total) = if is_current_epoch {
            (request.held, request.spent_total)
        } else {
            (RequestAmount::ZERO, RequestAmount::ZERO)
        };
        let newly_spent = spent_total.saturating_sub(self.spent_total);
        self.spent_total = spent_total;
        let still_held = held.min(self.outstanding);
        let not_held = self.outstanding.saturating_sub(still_held);
        let spent = newly_spent.min(not_held);
        self.outstanding = still_held;
        ClientReport {
            spent,
            returned: not_held.saturating_sub(spent),
        }
    }

    /// Records a response and its grant.
    pub(crate) fn record_response(&mut self, response: LedgerResponse, expires_at: MonotonicTime) {
        self.outstanding = self.outstanding.saturating_add(response.granted);
        self.expires_at = expires_at;
        self.last_response = Some(response);
    }
}
