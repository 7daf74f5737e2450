use std::time::Duration;

use super::{BudgetAnswer, BudgetAsk, ClientId};
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// A message that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    sequence: u64,
    sent_at: MonotonicTime,
    waiting: u32,
}

impl PendingAsk {
    /// Returns whether the answer leaves requests waiting.
    const fn is_short(&self, granted: u32) -> bool {
        granted < self.waiting
    }
}

/// What an entry wants from one ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AskAmounts {
    pub(crate) held: u32,
    pub(crate) waiting: u32,
    pub(crate) wanted: u32,
}

/// An entry's account with the ledger of one zone.
#[derive(Clone, Debug)]
pub(crate) struct LedgerAccount {
    zone: ZoneId,
    epoch: u64,
    next_sequence: u64,
    held: u32,
    usable_until: MonotonicTime,
    spent_total: u64,
    pending: Option<PendingAsk>,
    dry_until: MonotonicTime,
    look_ahead_from: MonotonicTime,
}

impl LedgerAccount {
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            epoch: 0,
            next_sequence: 1,
            held: 0,
            usable_until: MonotonicTime::default(),
            spent_total: 0,
            pending: None,
            dry_until: MonotonicTime::default(),
            look_ahead_from: MonotonicTime::default(),
        }
    }

    pub(crate) const fn get_zone(&self) -> &ZoneId {
        &self.zone
    }

    pub(crate) const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    pub(crate) fn is_dry(&self, now: MonotonicTime) -> bool {
        now < self.dry_until
    }

    /// Returns whether budget may be asked for ahead of need.
    pub(crate) fn may_look_ahead(&self, now: MonotonicTime) -> bool {
        !self.is_pending() && !self.is_dry(now) && now >= self.look_ahead_from
    }

    pub(crate) const fn get_dry_until(&self) -> MonotonicTime {
        self.dry_until
    }

    /// Returns the requests that may be used now.
    pub(crate) fn usable(&self, now: MonotonicTime) -> u32 {
        if now < self.usable_until {
            self.held
        } else {
            0
        }
    }

    /// Uses one request if there is one.
    pub(crate) fn try_spend(&mut self, now: MonotonicTime) -> bool {
        if self.usable(now) == 0 {
            return false;
        }
        self.held -= 1;
        self.spent_total += 1;
        true
    }

    /// Makes the next message; requests above `amounts.held` are given up first.
    pub(crate) fn ask(
        &mut self,
        client: &ClientId,
        own_zone: &ZoneId,
        amounts: AskAmounts,
        now: MonotonicTime,
    ) -> BudgetAsk {
        self.held = self.usable(now).min(amounts.held);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending = Some(PendingAsk {
            sequence,
            sent_at: now,
            waiting: amounts.waiting,
        });
        BudgetAsk {
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

    /// Takes an answer; one that is not awaited any more is ignored.
    pub(crate) fn on_answer(&mut self, answer: &BudgetAnswer, now: MonotonicTime) {
        let Some(pending) = self.take_pending(answer.sequence) else {
            return;
        };
        self.held = self.usable(now);
        if answer.ledger_epoch != self.epoch {
            self.epoch = answer.ledger_epoch;
            self.held = 0;
            self.spent_total = 0;
        }
        self.held = self.held.saturating_add(answer.granted);
        self.usable_until = pending.sent_at + millis(answer.valid_ms);
        let pause_until = now + millis(answer.retry_after_ms);
        if pending.is_short(answer.granted) {
            self.dry_until = pause_until;
        }
        if answer.granted == 0 {
            self.look_ahead_from = pause_until;
        }
    }

    /// Takes note that a message got no answer in time; the ledger is not asked
    /// again for the time of `pause`.
    pub(crate) fn on_failure(&mut self, sequence: u64, pause: Duration, now: MonotonicTime) {
        if self.take_pending(sequence).is_some() {
            self.dry_until = now + pause;
        }
    }

    fn take_pending(&mut self, sequence: u64) -> Option<PendingAsk> {
        self.pending.take_if(|pending| pending.sequence == sequence)
    }
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}
