use std::ops::AddAssign;

/// Numbers of statements that were served and that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OutcomeCounts {
    pub(super) served: u32,
    pub(super) failed: u32,
}

impl OutcomeCounts {
    pub(super) fn record(&mut self, is_served: bool) {
        self.served += u32::from(is_served);
        self.failed += u32::from(!is_served);
    }

    pub(super) const fn total(self) -> u32 {
        self.served + self.failed
    }

    /// Returns the part of the statements that failed; 0 without statements.
    pub(super) fn failure_rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.total().max(1))
    }
}

impl AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: Self) {
        self.served += other.served;
        self.failed += other.failed;
    }
}
