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
/// Maximum of that minimum when it is extended to whole parts, which have about 8 groups: the digest of
/// an instance without groups may have a single part.
const MAX_RESERVED: usize = 2 * MIN_FIRST;

/// How many groups a leader names in one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantLimit {
    /// Maximum number of changed groups, those in `first` included.
    pub(super) changed: usize,
    /// Maximum number of groups in parts of the digest that are empty at the instance.
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

    /// Returns how many groups are sent of `known` changed ones and of those of which the instance
    /// knows nothing, if `left` of the total limit are left. `first_parts` are the parts of the
    /// latter, in the order in which they are sent.
    ///
    /// A minimum of the latter is always sent, even above the total limit: a few hundred bytes, for
    /// which a datagram has room. It consists of whole parts, since the rest of a part would count
    /// as changed in the next response, and might then not be sent for a long time.
    pub(super) fn split(
        self,
        left: usize,
        known: usize,
        first_parts: impl ExactSizeIterator<Item = usize> + Clone,
    ) -> (usize, usize) {
        let first = first_parts.len();
        let last_part = first_parts.clone().nth(MIN_FIRST - 1);
        let rest = first_parts.skip(MIN_FIRST);
        let rest = rest.take_while(|part| Some(*part) == last_part).count();
        let reserved = first.min(MIN_FIRST + rest).min(MAX_RESERVED);
        let known = known.min(left.saturating_sub(reserved));
        let first = first.min(self.first.min(left - known).max(reserved));
        (known, first)
    }

    /// Returns the number of groups in a response of which the instance knows nothing.
    #[must_use]
    pub const fn first_groups(self) -> usize {
        self.first
    }
}
