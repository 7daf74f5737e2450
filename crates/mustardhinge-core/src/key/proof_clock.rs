use std::collections::BTreeMap;
use std::time::Duration;

use super::{KeyValidity, OutageEvidence};
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// Tracks the newest proof that the known documents are current.
///
/// A proof is a response of the store, or of a peer that holds such a response. Its age
/// counts from the time at which the request was sent, by the local clock.
///
/// While a majority of zones can't reach the store, no key can be withdrawn. The keys
/// therefore stay valid on an instance that knows every change that those zones know. An
/// instance that is only isolated itself gets no responses from a majority and has no proof.
#[derive(Clone, Debug)]
pub struct ProofClock {
    zone_count: usize,
    newest_proof: Option<MonotonicTime>,
    outages: BTreeMap<ZoneId, OutageEvidence>,
}

impl ProofClock {
    /// Creates a clock without a proof, for a fleet configured with `zone_count`
    /// availability zones.
    #[must_use]
    pub const fn new(zone_count: usize) -> Self {
        Self {
            zone_count,
            newest_proof: None,
            outages: BTreeMap::new(),
        }
    }

    /// Records the store's response to a request sent at `requested_at`.
    pub fn record_proof(&mut self, requested_at: MonotonicTime) {
        self.newest_proof = self.newest_proof.max(Some(requested_at));
    }

    /// Records a response to a request sent at `requested_at`, from a process whose proof
    /// had this `age` when it responded.
    ///
    /// The proof counts from `requested_at`, not from the arrival of the response, because
    /// the response may have waited in a paused process for any length of time.
    pub fn record_relayed_proof(&mut self, requested_at: MonotonicTime, age: Duration) {
        if let Some(micros) = micros_before(requested_at, age) {
            self.record_proof(MonotonicTime::from_micros(micros));
        }
    }

    /// Records that `zone` can't reach the store.
    pub fn record_outage(&mut self, zone: ZoneId, evidence: OutageEvidence) {
        let kept = self.outages.entry(zone).or_insert(evidence);
        if evidence.requested_at >= kept.requested_at {
            *kept = evidence;
        }
    }

    /// Records that `zone` can reach the store again.
    pub fn clear_outage(&mut self, zone: &ZoneId) {
        self.outages.remove(zone);
    }

    /// Returns the age of the newest proof, if there is one.
    #[must_use]
    pub fn get_proof_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.newest_proof.map(|proof| now.saturating_since(proof))
    }

    /// Decides whether keys are valid on an instance that has adopted every change up to
    /// `known_revision` of the store.
    #[must_use]
    pub fn key_validity(
        &self,
        known_revision: u64,
        bound: Duration,
        now: MonotonicTime,
    ) -> KeyValidity {
        let proven = self.get_proof_age(now).is_some_and(|age| age < bound);
        if proven || self.is_store_unavailable(known_revision, bound, now) {
            KeyValidity::Fresh
        } else {
            KeyValidity::Unproven
        }
    }

    /// Returns whether a majority of zones can't reach the store and none of them knows a
    /// newer revision than this instance.
    #[must_use]
    pub fn is_store_unavailable(
        &self,
        known_revision: u64,
        bound: Duration,
        now: MonotonicTime,
    ) -> bool {
        let recent =
            |evidence: &&OutageEvidence| now.saturating_since(evidence.requested_at) < bound;
        let recent: Vec<_> = self.outages.values().filter(recent).collect();
        let is_majority = 2 * recent.len() > self.zone_count;
        is_majority
            && recent
                .iter()
                .all(|evidence| evidence.known_revision <= known_revision)
    }
}

fn micros_before(time: MonotonicTime, age: Duration) -> Option<u64> {
    let age = u64::try_from(age.as_micros()).ok()?;
    time.as_micros().checked_sub(age)
}
