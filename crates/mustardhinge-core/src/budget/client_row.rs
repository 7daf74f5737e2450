use super::{BudgetAnswer, BudgetAsk, RequestAmount};
use crate::units::MonotonicTime;

/// What a ledger knows of one start of an entry.
#[derive(Clone, Debug)]
pub(crate) struct ClientRow {
    /// Requests lent that may still be used.
    pub(crate) lent: RequestAmount,
    /// When those have lapsed by any clock of the fleet.
    pub(crate) lapses_at: MonotonicTime,
    /// The entry's own count of spent requests, as last reported.
    spent_total: RequestAmount,
    /// The last message and its answer.
    last_answer: Option<BudgetAnswer>,
}

/// What a report says about the requests lent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientReport {
    /// Requests that were spent, or can't be told from spent ones.
    pub(crate) spent: RequestAmount,
    /// Requests given back.
    pub(crate) returned: RequestAmount,
}

impl ClientRow {
    /// Starts a row for an entry whose earlier requests, if any, have lapsed.
    pub(crate) const fn new(spent_total: RequestAmount, now: MonotonicTime) -> Self {
        Self {
            lent: RequestAmount::ZERO,
            lapses_at: now,
            spent_total,
            last_answer: None,
        }
    }

    /// Returns the greatest sequence seen.
    pub(crate) fn newest_sequence(&self) -> u64 {
        self.last_answer.map_or(0, |answer| answer.sequence)
    }

    /// Returns the recorded answer if the message is a repetition.
    pub(crate) fn recorded_answer(&self, sequence: u64) -> Option<BudgetAnswer> {
        self.last_answer.filter(|last| last.sequence == sequence)
    }

    /// Takes the report of a new message.
    ///
    /// What the entry neither keeps nor has spent comes back. Spent requests that
    /// had lapsed here are counted again, which gives back less, never more.
    pub(crate) fn take_report(&mut self, ask: &BudgetAsk, is_own_epoch: bool) -> ClientReport {
        let (held, spent_total) = if is_own_epoch {
            (ask.held, ask.spent_total)
        } else {
            (RequestAmount::ZERO, RequestAmount::ZERO)
        };
        let newly_spent = spent_total.saturating_sub(self.spent_total);
        self.spent_total = spent_total;
        let kept = held.min(self.lent);
        let gone = self.lent.saturating_sub(kept);
        let spent = newly_spent.min(gone);
        self.lent = kept;
        ClientReport {
            spent,
            returned: gone.saturating_sub(spent),
        }
    }

    /// Records an answer and what it lends.
    pub(crate) fn record_answer(&mut self, answer: BudgetAnswer, lapses_at: MonotonicTime) {
        self.lent = self.lent.saturating_add(answer.granted);
        self.lapses_at = lapses_at;
        self.last_answer = Some(answer);
    }
}
