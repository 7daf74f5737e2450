use super::LeaseSettings;

/// Maximum number of changed groups in one response, which has to fit into a datagram. The
/// others follow in the response to the next request, which is sent immediately.
const MAX_CHANGED: usize = 400;
/// Groups that a leader names per second to instances that know nothing of them, about 0.8 MB. With
/// more, the responses to 300 started instances filled a link of 10 Mbit/s, and leases expired
/// because their renewals were dropped.
const FIRST_PER_SECOND: f64 = 24_000.0;
/// Minimum number of such groups in a response, so that thousands of instances make progress.
const MIN_FIRST: usize = 16;

/// How many groups a leader names in one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantLimit {
    /// Groups in all.
    pub(super) changed: usize,
    /// Groups of which the instance knows nothing.
    pub(super) first: usize,
}

impl GrantLimit {
    /// No limit, for the leader's own leases, which are not sent.
    pub const NONE: Self = Self {
        changed: usize::MAX,
        first: usize::MAX,
    };

    /// Returns the limit for a number of instances, all of which may send urgent requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_core::primary_lease::{GrantLimit, LeaseSettings};
    ///
    /// let limit = |instances| GrantLimit::for_instances(instances, &LeaseSettings::default());
    /// assert_eq!(limit(7).first_groups(), 342);
    /// assert_eq!(limit(300).first_groups(), 33);
    /// ```
    #[must_use]
    pub fn for_instances(instances: usize, settings: &LeaseSettings) -> Self {
        let instances = instances.max(1);
        let interval = settings.urgent_request_interval(instances);
        // A response every `interval` for each instance. The number is small and not negative.
        let first = FIRST_PER_SECOND * interval.as_secs_f64() / instances as f64;
        Self {
            changed: MAX_CHANGED,
            first: (first as usize).clamp(MIN_FIRST, MAX_CHANGED),
        }
    }

    /// Returns the number of groups in a response of which the instance knows nothing.
    #[must_use]
    pub const fn first_groups(self) -> usize {
        self.first
    }
}
