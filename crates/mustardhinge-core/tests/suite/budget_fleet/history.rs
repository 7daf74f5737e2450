//! The admitted and refused requests of a run, and the check against the limit.

/// Microseconds per second.
const SECOND: u64 = 1_000_000;

/// A rate in requests per second and a burst in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlainLimit {
    pub(super) rate: u64,
    pub(super) burst: u64,
}

/// The admissions and refusals of one customer across the fleet, in global time.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionHistory {
    pub(super) admitted: Vec<u64>,
    pub(super) refused: Vec<u64>,
}

impl AdmissionHistory {
    /// Returns the first time at which a window that starts at `from` or later and ends
    /// before `to` contains more than burst + rate × window admissions.
    ///
    /// The level of a leaky bucket at the rate is the greatest excess over all windows
    /// that end now, so one pass checks windows of every length.
    pub(super) fn first_excess(&self, limit: PlainLimit, from: u64, to: u64) -> Option<u64> {
        let mut level = 0;
        let mut last = from;
        for time in self.times_between(from, to) {
            let leaked = (time - last) * limit.rate;
            level = u64::saturating_sub(level, leaked) + SECOND;
            last = time;
            if level > limit.burst * SECOND {
                return Some(time);
            }
        }
        None
    }

    fn times_between(&self, from: u64, to: u64) -> Vec<u64> {
        let within = |time: &u64| (from..to).contains(time);
        let mut times: Vec<u64> = self.admitted.iter().copied().filter(within).collect();
        times.sort_unstable();
        times
    }
}
