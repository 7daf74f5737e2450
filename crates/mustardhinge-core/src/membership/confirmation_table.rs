use std::time::Duration;

use super::{ConfirmationAges, ConfirmationSource, CopyConfirmation, StorePart};
use crate::units::MonotonicTime;

/// The confirmations of an instance's copies of the store's content.
///
/// An open watch of the store and a grant of the leader look the same whether nothing has changed or
/// the change has not arrived. Only a response that the store gave after a time shows that there was
/// no change before it. An instance that lacks such a response for
/// [`StorePart::max_unconfirmed`], its own or the leader's, reads the store itself.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::membership::{ConfirmationSource, ConfirmationTable, StorePart};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let mut table = ConfirmationTable::default();
/// table.confirm(StorePart::Plan, at(1_000), ConfirmationSource::Leader);
/// assert!(!table.is_expired(StorePart::Plan, at(3_400)));
/// assert!(table.is_expired(StorePart::Plan, at(3_500)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmationTable {
    plan: CopyConfirmation,
    targets: CopyConfirmation,
    evacuations: CopyConfirmation,
}

impl ConfirmationTable {
    /// Begins the time within which the first copy of a part has to be confirmed.
    pub fn begin(&mut self, part: StorePart, now: MonotonicTime) {
        self.entry(part).begin(now);
    }

    /// Records that the copy of a part was current at `at`.
    pub fn confirm(&mut self, part: StorePart, at: MonotonicTime, source: ConfirmationSource) {
        self.entry(part).confirm(at, source);
    }

    /// Returns the confirmation of a part.
    #[must_use]
    pub const fn of(&self, part: StorePart) -> CopyConfirmation {
        match part {
            StorePart::Plan => self.plan,
            StorePart::Targets => self.targets,
            StorePart::Evacuations => self.evacuations,
        }
    }

    /// Returns when the copy of a part must be read from the store unless it is confirmed before.
    #[must_use]
    pub fn expires_at(&self, part: StorePart) -> Option<MonotonicTime> {
        self.of(part).expires_at(part.max_unconfirmed())
    }

    /// Returns when an instance that watches the store for others can't rely on the leader's
    /// confirmation of a part any more; none without one.
    #[must_use]
    pub fn leader_expires_at(&self, part: StorePart) -> Option<MonotonicTime> {
        self.of(part).leader_expires_at(part.max_leader_age())
    }

    /// Returns when another instance has to be asked for a confirmation, unless there is one before;
    /// none without a copy.
    #[must_use]
    pub fn query_due_at(&self) -> Option<MonotonicTime> {
        let due_at = |part: StorePart| self.of(part).expires_at(part.query_age());
        StorePart::ALL.into_iter().filter_map(due_at).min()
    }

    /// Returns whether the copy of a part was not confirmed in time.
    #[must_use]
    pub fn is_expired(&self, part: StorePart, now: MonotonicTime) -> bool {
        self.of(part).is_expired(part.max_unconfirmed(), now)
    }

    /// Returns whether the copy of a part is expired if that has changed since the last call.
    pub fn check_expiry(&mut self, part: StorePart, now: MonotonicTime) -> Option<bool> {
        self.entry(part).check_expiry(part.max_unconfirmed(), now)
    }

    /// Returns the ages of the confirmations.
    #[must_use]
    pub fn ages(&self, now: MonotonicTime) -> ConfirmationAges {
        let age = |part: StorePart| -> Option<Duration> { self.of(part).age(now) };
        ConfirmationAges {
            plan: age(StorePart::Plan),
            targets: age(StorePart::Targets),
            evacuations: age(StorePart::Evacuations),
        }
    }

    const fn entry(&mut self, part: StorePart) -> &mut CopyConfirmation {
        match part {
            StorePart::Plan => &mut self.plan,
            StorePart::Targets => &mut self.targets,
            StorePart::Evacuations => &mut self.evacuations,
        }
    }
}
