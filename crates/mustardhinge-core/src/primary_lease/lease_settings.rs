use std::time::Duration;

/// Least pause between two asks while a primary can't be used.
const MIN_URGENT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Part of that pause for each instance: the holder answers about 700 of these asks a second.
const URGENT_REQUEST_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(1_400);

/// The times by which leases and the duty are kept.
///
/// They must satisfy `renew_interval < claim_after < renew_deadline`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long an instance may use a primary, counted from when it asked.
    pub lease: Duration,
    /// How often an instance asks for its leases again.
    pub request_interval: Duration,
    /// How often the holder renews its record in the store.
    pub renew_interval: Duration,
    /// How long a record must have stood unchanged before another instance claims the duty.
    pub claim_after: Duration,
    /// How long after its last renewal a holder goes on lending what it has lent.
    pub renew_deadline: Duration,
    /// How long a lease may run after most voters went along with the holder, if it can't renew.
    pub quorum_lease: Duration,
    /// How long before `claim_after` the holder stops replacing primaries.
    pub promote_margin: Duration,
}

impl Default for LeaseSettings {
    /// A lease bridges three lost messages; a claim bridges one lost renewal, so that the
    /// duty moves about when the leases of a dead holder end; the bound on lending
    /// exceeds the usual outage of the store. The word of a voter is up to two asks old, which
    /// leaves leases of one and a half seconds or more.
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_000),
            request_interval: Duration::from_millis(500),
            renew_interval: Duration::from_millis(700),
            claim_after: Duration::from_millis(2_000),
            renew_deadline: Duration::from_millis(9_000),
            quorum_lease: Duration::from_millis(2_500),
            promote_margin: Duration::from_millis(300),
        }
    }
}

impl LeaseSettings {
    /// Returns how often an instance asks while a primary can't be used, among `instances`
    /// that all do: the holder has to answer them all.
    #[must_use]
    pub fn urgent_request_interval(&self, instances: usize) -> Duration {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        (URGENT_REQUEST_INTERVAL_PER_INSTANCE.saturating_mul(instances))
            .clamp(MIN_URGENT_REQUEST_INTERVAL, self.request_interval)
    }
}
