use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// The shares of one customer's rate that instances may use while they are isolated.
///
/// An instance keeps its last share until it reports again or the share expires, so the shares
/// that follow the recent usage would add up to more than the whole. The ledger grants no more
/// than what the other instances don't hold.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareLedger {
    held: HashMap<InstanceId, (MonotonicTime, f64)>,
    grants: VecDeque<(MonotonicTime, InstanceId)>,
    sum: f64,
}

impl ShareLedger {
    /// Grants an instance the `wanted` share, or what is left of `total`. A share lasts for
    /// `validity`.
    pub(super) fn grant(
        &mut self,
        instance: &InstanceId,
        (wanted, total): (f64, f64),
        validity: Duration,
        now: MonotonicTime,
    ) -> f64 {
        self.expire(validity, now);
        if let Some((_, before)) = self.held.get(instance) {
            self.sum -= before;
        }
        let share = wanted.min(total - self.sum).max(0.0);
        self.sum += share;
        self.held.insert(instance.clone(), (now, share));
        self.grants.push_back((now, instance.clone()));
        share
    }

    fn expire(&mut self, validity: Duration, now: MonotonicTime) {
        while let Some((at, instance)) = self.grants.front() {
            if now.saturating_since(*at) < validity {
                return;
            }
            let is_last = |(last, _): &(MonotonicTime, f64)| last == at;
            if self.held.get(instance).is_some_and(is_last)
                && let Some((_, share)) = self.held.remove(instance)
            {
                self.sum -= share;
            }
            self.grants.pop_front();
        }
    }
}
