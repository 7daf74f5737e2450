//! When an instance's copies of the store's content were last shown to be current.

use std::time::Duration;

use mustardhinge_core::membership::{
    ConfirmationAges, ConfirmationSource, ConfirmationTable, StorePart,
};
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::event;

use super::NodeState;

impl NodeState {
    /// Records that the copy of a part of the store's content was current at `at`.
    pub fn confirm_copy(&self, part: StorePart, at: MonotonicTime, source: ConfirmationSource) {
        self.confirmations.borrow_mut().confirm(part, at, source);
        self.check_copy(part, self.clock.now());
    }

    /// Begins the time within which the first copy of a part has to be confirmed.
    pub fn begin_copy(&self, part: StorePart, now: MonotonicTime) {
        self.confirmations.borrow_mut().begin(part, now);
    }

    /// Returns the confirmations of the copies.
    #[must_use]
    pub fn confirmations(&self) -> ConfirmationTable {
        *self.confirmations.borrow()
    }

    /// Returns the ages of the confirmations.
    #[must_use]
    pub fn confirmation_ages(&self, now: MonotonicTime) -> ConfirmationAges {
        self.confirmations.borrow().ages(now)
    }

    /// Reports the ages of the confirmations, and the copies that were not confirmed in time.
    pub fn check_copies(&self, now: MonotonicTime) {
        for part in StorePart::ALL {
            self.check_copy(part, now);
            if let Some(age) = self.confirmation_ages(now).of(part) {
                metrics::gauge!("resident_copy_age_seconds", "part" => part.as_str())
                    .set(age.as_secs_f64());
            }
        }
    }

    fn check_copy(&self, part: StorePart, now: MonotonicTime) {
        let mut confirmations = self.confirmations.borrow_mut();
        let Some(is_expired) = confirmations.check_expiry(part, now) else {
            return;
        };
        let confirmation = confirmations.of(part);
        let age_ms = age_millis(confirmation.age(now));
        let source = confirmation.source();
        if is_expired {
            metrics::counter!("resident_copies_expired_total", "part" => part.as_str())
                .increment(1);
            event::COPY_UNCONFIRMED.log(format_args!(
                "part={part} confirmed_ms={age_ms} by={source}"
            ));
        } else {
            event::COPY_CONFIRMED.log(format_args!(
                "part={part} confirmed_ms={age_ms} by={source}"
            ));
        }
    }
}

/// Returns an age in milliseconds for a log line; -1 for none.
pub(super) fn age_millis(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}
