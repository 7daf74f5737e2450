use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::key::{OutageEvidence, ProofClock};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::peer::StoreOutage;

/// Maximum ages of outage evidence, tried in ascending order.
const OUTAGE_MAX_AGES_MS: [u64; 6] = [500, 1_000, 1_500, 2_000, 2_500, 3_000];

/// Proof that the documents are current, and the zones that report the store
/// unavailable.
#[derive(Debug)]
pub(crate) struct ProofState {
    clock: ProofClock,
    outages: BTreeMap<ZoneId, OutageEvidence>,
}

impl ProofState {
    /// Creates the state of an agent without proof in a fleet of `zone_count` zones.
    pub(crate) const fn new(zone_count: usize) -> Self {
        Self {
            clock: ProofClock::new(zone_count),
            outages: BTreeMap::new(),
        }
    }

    /// Records that the store responded to a request sent at `requested_at`.
    pub(crate) fn record_store_proof(&mut self, zone: &ZoneId, requested_at: MonotonicTime) {
        self.clock.record_proof(requested_at);
        self.clear_outage(zone);
    }

    /// Records the proof in the response of another agent to a request sent at
    /// `requested_at`; `age_ms` is its age at that agent.
    pub(crate) fn record_peer_proof(&mut self, requested_at: MonotonicTime, age_ms: u32) {
        let age = Duration::from_millis(age_ms.into());
        self.clock.record_relayed_proof(requested_at, age);
    }

    /// Records that a zone reports the store unavailable.
    pub(crate) fn record_outage(&mut self, zone: &ZoneId, evidence: OutageEvidence) {
        let known = self.outages.get(zone);
        if known.is_some_and(|known| known.requested_at >= evidence.requested_at) {
            return;
        }
        self.outages.insert(zone.clone(), evidence);
        self.clock.record_outage(zone.clone(), evidence);
    }

    /// Records the outages in the response of another agent to a request sent at
    /// `requested_at`.
    pub(crate) fn record_peer_outages(
        &mut self,
        outages: &[StoreOutage],
        requested_at: MonotonicTime,
    ) {
        for outage in outages {
            let age = Duration::from_millis(outage.age_ms.into());
            let evidence = OutageEvidence {
                requested_at: requested_at - age,
                known_revision: outage.store_revision,
            };
            self.record_outage(&outage.zone, evidence);
        }
    }

    /// Records that a zone can reach the store.
    pub(crate) fn clear_outage(&mut self, zone: &ZoneId) {
        self.outages.remove(zone);
        self.clock.clear_outage(zone);
    }

    /// Returns the outage evidence of all zones for other agents.
    pub(crate) fn outages(&self, now: MonotonicTime) -> Vec<StoreOutage> {
        let outage = |(zone, evidence): (&ZoneId, &OutageEvidence)| StoreOutage {
            zone: zone.clone(),
            age_ms: millis(now.saturating_since(evidence.requested_at)),
            store_revision: evidence.known_revision,
        };
        self.outages.iter().map(outage).collect()
    }

    /// Returns the age of the newest proof from a store response.
    pub(crate) fn store_proof_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.clock.get_proof_age(now)
    }

    /// Returns the age of the newest proof: a response of the store, or evidence
    /// from a majority of zones that the store is unavailable.
    pub(crate) fn proof_age(&self, store_revision: u64, now: MonotonicTime) -> Option<Duration> {
        let store_proof = self.store_proof_age(now);
        let max_ages = OUTAGE_MAX_AGES_MS.into_iter().map(Duration::from_millis);
        let mut outages = max_ages.filter(|max_age| {
            self.clock
                .is_store_unavailable(store_revision, *max_age, now)
        });
        store_proof.into_iter().chain(outages.next()).min()
    }
}

/// Converts a duration to milliseconds, saturating at `u32::MAX`.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
