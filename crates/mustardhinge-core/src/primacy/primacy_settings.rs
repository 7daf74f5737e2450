use std::time::Duration;

/// Least pause between two asks while a primary can't be used.
const LEAST_URGENT_ASK: Duration = Duration::from_millis(100);
/// Part of that pause for each instance: the holder answers about 700 of these asks a second.
const URGENT_ASK_EACH: Duration = Duration::from_micros(1_400);

/// The times by which leases and the duty are kept.
///
/// They must satisfy `renew_every < claim_after < grant_bound`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimacySettings {
    /// How long an instance may use a primary, counted from when it asked.
    pub lease: Duration,
    /// How often an instance asks for its leases again.
    pub ask_every: Duration,
    /// How often the holder renews its record in the store.
    pub renew_every: Duration,
    /// How long a record must have stood unchanged before another instance claims the duty.
    pub claim_after: Duration,
    /// How long after its last renewal a holder goes on lending what it has lent.
    pub grant_bound: Duration,
    /// How long a lease may run after most voters went along with the holder, if it can't renew.
    pub backed_use: Duration,
    /// How long before `claim_after` the holder stops replacing primaries.
    pub promote_margin: Duration,
}

impl Default for PrimacySettings {
    /// A lease bridges three lost messages; a claim bridges one lost renewal, so that the
    /// duty moves about when the leases of a dead holder end; the bound on lending
    /// exceeds the usual outage of the store. The word of a voter is up to two asks old, which
    /// leaves leases of one and a half seconds or more.
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_000),
            ask_every: Duration::from_millis(500),
            renew_every: Duration::from_millis(700),
            claim_after: Duration::from_millis(2_000),
            grant_bound: Duration::from_millis(9_000),
            backed_use: Duration::from_millis(2_500),
            promote_margin: Duration::from_millis(300),
        }
    }
}

impl PrimacySettings {
    /// Returns how often an instance asks while a primary can't be used, among `instances`
    /// that all do: the holder has to answer them all.
    #[must_use]
    pub fn urgent_ask(&self, instances: usize) -> Duration {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        (URGENT_ASK_EACH.saturating_mul(instances)).clamp(LEAST_URGENT_ASK, self.ask_every)
    }
}
