use std::collections::HashMap;
use std::time::Duration;

use super::ShareAmount;
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// Time after its last deposit for which a depositor's unused capacity counts. After a lost
/// message, a depositor keeps its share for itself for this long.
const ROOM_VALIDITY: Duration = Duration::from_millis(1_500);

/// What a share pool holds for one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct PooledShare {
    balance: ShareAmount,
    rooms: HashMap<InstanceId, (MonotonicTime, ShareAmount)>,
}

impl PooledShare {
    /// Adds a deposit, up to the unused capacity of all depositors' buckets, and returns how much
    /// was added.
    pub(super) fn deposit(
        &mut self,
        from: &InstanceId,
        amount: ShareAmount,
        room: ShareAmount,
        now: MonotonicTime,
    ) -> ShareAmount {
        self.rooms.insert(from.clone(), (now, room));
        self.limit(now);
        let before = self.balance;
        self.balance += amount;
        self.limit(now);
        let mut accepted = self.balance;
        accepted -= before;
        accepted
    }

    /// Takes at most `requested` whole operations.
    pub(super) fn take(&mut self, requested: u32, now: MonotonicTime) -> u32 {
        self.limit(now);
        let taken = self.balance.whole_operations().min(requested);
        self.balance -= ShareAmount::from_operations(taken);
        taken
    }

    /// Returns what the pool holds.
    pub(super) const fn balance(&self) -> ShareAmount {
        self.balance
    }

    fn limit(&mut self, now: MonotonicTime) {
        self.rooms
            .retain(|_, (at, _)| now.saturating_since(*at) < ROOM_VALIDITY);
        let mut limit = ShareAmount::ZERO;
        for (_, room) in self.rooms.values() {
            limit += *room;
        }
        self.balance = self.balance.min(limit);
    }
}
