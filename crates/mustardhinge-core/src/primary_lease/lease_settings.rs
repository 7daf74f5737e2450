use std::time::Duration;

/// Minimum interval between lease requests while a primary is unusable.
const MIN_URGENT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the urgent request interval per instance: the leader handles about 700 of these
/// requests per second.
const URGENT_REQUEST_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(1_400);

/// Durations for leases and for the leader election.
///
/// They must satisfy `renew_interval < claim_after < renew_deadline`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Duration of a lease, counted from when the instance sent its request.
    pub lease: Duration,
    /// Interval between the lease requests of an instance.
    pub request_interval: Duration,
    /// Interval at which the leader renews its record in the store.
    pub renew_interval: Duration,
    /// Time for which the record must be unchanged before another instance claims leadership.
    pub claim_after: Duration,
    /// Time after its last renewal for which a leader may grant leases.
    pub renew_deadline: Duration,
    /// Maximum time for which a lease of a leader that can't renew runs after a majority of the
    /// voters acknowledged the leader.
    pub quorum_lease: Duration,
    /// Time before `claim_after` at which the leader stops replacing primaries.
    pub promote_margin: Duration,
}

impl Default for LeaseSettings {
    /// Returns settings with which a lease survives three lost messages.
    ///
    /// A record survives one lost renewal, so a new leader claims at about the time when the
    /// leases of a dead leader expire. `renew_deadline` exceeds the usual outage of the store. A
    /// voter's acknowledgement is up to two request intervals old, which leaves leases of at
    /// least one and a half seconds.
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
    /// Returns the interval between lease requests while a primary is unusable.
    ///
    /// It grows with the number of instances, since all of them send requests to the leader.
    #[must_use]
    pub fn urgent_request_interval(&self, instances: usize) -> Duration {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        (URGENT_REQUEST_INTERVAL_PER_INSTANCE.saturating_mul(instances))
            .clamp(MIN_URGENT_REQUEST_INTERVAL, self.request_interval)
    }
}
