use super::{LedgerRequest, LedgerResponse, RequestAmount};
use crate::units::MonotonicTime;

/// What a ledger knows of one start of an entry.
#[derive(Clone, Debug)]
pub(crate) struct ClientState {
    /// Requests lent that may still be used.
    pub(crate) outstanding: RequestAmount,
    /// When those have lapsed by any clock of the fleet.
    pub(crate) expires_at: MonotonicTime,
    /// The entry's own count of spent requests, as last reported.
    spent_total: RequestAmount,
    /// The last message and its answer.
    last_response: Option<LedgerResponse>,
}

/// What a report says about the requests lent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientReport {
    /// Requests that were spent, or can't be told from spent ones.
    pub(crate) spent: RequestAmount,
    /// Requests given back.
    pub(crate) returned: RequestAmount,
}

impl ClientState {
    /// Starts a row for an entry whose earlier requests, if any, have lapsed.
    pub(crate) const fn new(spent_total: RequestAmount, now: MonotonicTime) -> Self {
        Self {
            outstanding: RequestAmount::ZERO,
            expires_at: now,
            spent_total,
            last_response: None,
        }
    }

    /// Returns the greatest sequence seen.
    pub(crate) fn newest_sequence(&self) -> u64 {
        self.last_response.map_or(0, |response| response.sequence)
    }

    /// Returns the recorded answer if the message is a repetition.
    pub(crate) fn cached_response(&self, sequence: u64) -> Option<LedgerResponse> {
        self.last_response.filter(|last| last.sequence == sequence)
    }

    /// Takes the report of a new message.
    ///
    /// What the entry neither keeps nor has spent comes back. Spent requests that
    /// had lapsed here are counted again, which gives back less, never more.
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

    /// Records an answer and what it lends.
    pub(crate) fn record_response(&mut self, response: LedgerResponse, expires_at: MonotonicTime) {
        self.outstanding = self.outstanding.saturating_add(response.granted);
        self.expires_at = expires_at;
        self.last_response = Some(response);
    }
}
