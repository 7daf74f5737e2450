use crate::units::MonotonicTime;

/// Part of its usual reads that a reduced target gets after a failure. Enough to notice within
/// seconds that its fault is over.
const LOWEST_SHARE: f64 = 0.125;
/// Number of failures that a target with an unchanged failure rate is expected to have among as many
/// statements as restore its share without one. The probability of none is then about 3 %.
const MISSED_FAILURES: f64 = 3.0;

/// The evidence for a reduced share since the reduction.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareReduction {
    pub(super) failed_at: MonotonicTime,
    failed: u32,
    /// Statements that were served before the last failure.
    served_before: u32,
    /// Statements that were served since.
    served_since: u32,
}

impl ShareReduction {
    pub(super) const fn new(now: MonotonicTime) -> Self {
        Self {
            failed_at: now,
            failed: 0,
            served_before: 0,
            served_since: 0,
        }
    }

    pub(super) const fn record_failed(&mut self, now: MonotonicTime) {
        self.failed_at = now;
        self.failed += 1;
        self.served_before += self.served_since;
        self.served_since = 0;
    }

    /// Records a served statement. Returns whether so many in succession show that the fault is over.
    pub(super) fn record_served(&mut self) -> bool {
        self.served_since += 1;
        self.recovered_part() >= 1.0
    }

    /// Returns the part of its usual reads that the target gets. It rises with the square of the
    /// recovered part, since a few served statements in succession are frequent in spite of the fault.
    pub(super) fn share(&self) -> f64 {
        let part = self.recovered_part();
        LOWEST_SHARE + (1.0 - LOWEST_SHARE) * part * part
    }

    /// Returns the number of statements served in succession as a part of those that restore the
    /// share: nine at first, more the lower the failure rate turns out to be.
    fn recovered_part(&self) -> f64 {
        let failure_rate =
            f64::from(self.failed + 1) / f64::from(self.failed + self.served_before + 3);
        f64::from(self.served_since) * failure_rate / MISSED_FAILURES
    }
}
