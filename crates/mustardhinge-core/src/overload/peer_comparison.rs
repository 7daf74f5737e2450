use std::collections::BTreeMap;

use super::outcome_counts::OutcomeCounts;
use super::target_failures::TargetFailures;
use crate::ids::{CustomerId, TargetId};
use crate::units::MonotonicTime;

/// Number of customers whose statements must fail at the target.
const MIN_CUSTOMERS: usize = 2;
/// Number of failures that show a failure rate.
const MIN_FAILURES: u32 = 4;
/// Lowest failure rate of a reduced target. Below it, the reads that fail are fewer than the
/// capacity that its reduced share takes from the group.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Peers are taken to have failed one of this many statements more than seen. Without a read at a peer,
/// as on an instance that uses its open connections to one replica, this is all that is known.
const ASSUMED_STATEMENTS: u32 = 20;
/// Factor by which the failure rate must exceed that of the peers.
const PEER_FACTOR: f64 = 2.0;
/// Standard deviations by which the failure rate must exceed that of the peers. The comparison is made
/// with each failed read, and chance exceeds 3 often: at a natural rate of 5 %, 18 instead of 5 reductions
/// in eight replays of 14 s.
const MIN_DEVIATIONS: f64 = 3.5;

/// The recent outcomes at one target compared with those at its peers in the group.
pub(super) struct PeerComparison<'a> {
    here: BTreeMap<&'a CustomerId, OutcomeCounts>,
    elsewhere: BTreeMap<&'a CustomerId, OutcomeCounts>,
}

impl<'a> PeerComparison<'a> {
    pub(super) fn new(
        target: &TargetId,
        group: &'a BTreeMap<TargetId, TargetFailures>,
        now: MonotonicTime,
    ) -> Self {
        let mut comparison = Self {
            here: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
        };
        for (known, failures) in group {
            let side = if known == target {
                &mut comparison.here
            } else {
                &mut comparison.elsewhere
            };
            for (customer, counts) in failures.counts(now) {
                *side.entry(customer).or_default() += counts;
            }
        }
        comparison
    }

    /// Returns whether the failures of a customer count against the target. They don't if its
    /// statements fail elsewhere as well, or if it has no served statement to compare with.
    pub(super) fn counts_against(&self, customer: &CustomerId) -> bool {
        let counts_of = |side: &BTreeMap<_, _>| side.get(customer).copied().unwrap_or_default();
        let (here, elsewhere): (OutcomeCounts, OutcomeCounts) =
            (counts_of(&self.here), counts_of(&self.elsewhere));
        if elsewhere.total() == 0 {
            return here.served > 0;
        }
        here.failure_rate() > PEER_FACTOR * elsewhere.failure_rate()
    }

    /// Returns whether the target fails much more than its peers, and for several customers.
    pub(super) fn is_excessive(&self) -> bool {
        let (mut own, mut peers) = (OutcomeCounts::default(), OutcomeCounts::default());
        let mut customers = 0;
        for (customer, counts) in &self.here {
            if counts.failed == 0 || self.counts_against(customer) {
                customers += usize::from(counts.failed > 0);
                own += *counts;
            }
        }
        // A customer none of whose statements are served anywhere doesn't count against the peers either.
        for (customer, counts) in &self.elsewhere {
            let is_served_here = self.here.get(customer).is_some_and(|here| here.served > 0);
            if counts.served > 0 || is_served_here {
                peers += *counts;
            }
        }
        let peer_rate = f64::from(peers.failed + 1) / f64::from(peers.total() + ASSUMED_STATEMENTS);
        let rate = own.failure_rate();
        customers >= MIN_CUSTOMERS
            && own.failed >= MIN_FAILURES
            && rate >= MIN_FAILURE_RATE
            && rate > PEER_FACTOR * peer_rate
            && rate >= peer_rate + MIN_DEVIATIONS * deviation(own, peers)
    }
}

/// Returns the standard deviation of the target's failure rate if it fails no more than its peers.
fn deviation(own: OutcomeCounts, peers: OutcomeCounts) -> f64 {
    let failed = own.failed + peers.failed + 1;
    let rate = f64::from(failed) / f64::from(own.total() + peers.total() + ASSUMED_STATEMENTS);
    (rate * (1.0 - rate) / f64::from(own.total().max(1))).sqrt()
}
