use std::time::Duration;

use crate::units::MonotonicTime;

/// Time without a shed statement after which one more slot is tried. A target that sheds all the
/// time at its limit then sheds about two statements a second.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);
/// Time after which the next slot is tried, also without completed statements: on an instance with one a
/// second, the listed slots would otherwise be back only after 5 s. From 1 to 5 slots it takes 1.25 s.
const NEXT_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Age at which evidence expires.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(10);

/// The effective slots of one target as observed by one instance: the number of statements that it
/// runs concurrently without shedding, at most the listed number.
///
/// Load pattern: a target sheds statements ("busy") below its listed slots while its entry stays the
/// same. Each statement beyond what it runs costs another attempt elsewhere. How much slower than
/// usual a target is shows in its learned latency and slot costs, not here.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::overload::ObservedCapacity;
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let mut capacity = ObservedCapacity::new(5);
/// capacity.record_shed(3, MonotonicTime::from_millis(100));
/// assert_eq!(capacity.slots(MonotonicTime::from_millis(200)), 2);
/// assert_eq!(capacity.slots(MonotonicTime::from_millis(10_100)), 5);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ObservedCapacity {
    listed: usize,
    /// The slots after the last shed statement.
    slots: usize,
    shed_at: Option<MonotonicTime>,
    /// When the first more slot was tried since.
    raised_at: Option<MonotonicTime>,
}

impl ObservedCapacity {
    /// Creates the capacity of a target with this listed number of slots, without evidence.
    #[must_use]
    pub fn new(listed: usize) -> Self {
        let listed = listed.max(1);
        Self {
            listed,
            slots: listed,
            shed_at: None,
            raised_at: None,
        }
    }

    /// Records that the target shed a statement while `in_flight` were there, including this one.
    pub fn record_shed(&mut self, in_flight: usize, now: MonotonicTime) {
        let known = self.slots(now);
        self.slots = known.min(in_flight.saturating_sub(1)).max(1);
        self.shed_at = Some(now);
        self.raised_at = None;
    }

    /// Records a statement that the target completed. If none was shed for long enough, the slots
    /// rise from now on.
    pub fn record_completed(&mut self, now: MonotonicTime) {
        let is_due = self
            .shed_at
            .is_some_and(|at| now.saturating_since(at) >= FIRST_PROBE_DELAY);
        if is_due {
            self.raised_at.get_or_insert(now);
        }
    }

    /// Returns the number of statements that the target runs concurrently without shedding.
    #[must_use]
    pub fn slots(&self, now: MonotonicTime) -> usize {
        let is_known = self
            .shed_at
            .is_some_and(|at| now.saturating_since(at) < EVIDENCE_MAX_AGE);
        if !is_known {
            return self.listed;
        }
        let raised = self.raised_at.map_or(0, |at| {
            1 + now.saturating_since(at).as_millis() / NEXT_PROBE_DELAY.as_millis()
        });
        let raised = usize::try_from(raised).unwrap_or(usize::MAX);
        self.slots.saturating_add(raised).min(self.listed)
    }

    /// Returns the listed number of slots.
    #[must_use]
    pub const fn listed(&self) -> usize {
        self.listed
    }
}
