use std::collections::BTreeMap;
use std::time::Duration;

use super::{KeyValidity, OutageEvidence};
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// Keeps the newest proof that the known documents are current.
///
/// Proof is an answer of the store, or of a peer that has such an answer. It
/// counts from the moment that the question was sent, by the own clock. While a
/// majority of zones find the store out, nobody can withdraw a key, so the keys
/// stay valid on an instance that knows all that those zones know. An instance
/// that is merely cut off hears from no majority and has no proof.
#[derive(Clone, Debug)]
pub struct ProofClock {
    zone_count: usize,
    newest_proof: Option<MonotonicTime>,
    outages: BTreeMap<ZoneId, OutageEvidence>,
}

impl ProofClock {
    /// Makes a clock without proof, for a fleet that is set to have `zone_count`
    /// availability zones.
    #[must_use]
    pub const fn new(zone_count: usize) -> Self {
        Self {
            zone_count,
            newest_proof: None,
            outages: BTreeMap::new(),
        }
    }

    /// Records that a question sent to the store at `requested_at` was answered.
    pub fn record_proof(&mut self, requested_at: MonotonicTime) {
        self.newest_proof = self.newest_proof.max(Some(requested_at));
    }

    /// Records that a process asked at `requested_at` had proof of this `age` when it
    /// answered.
    ///
    /// The proof counts from `requested_at`, not from the arrival of the answer: the
    /// answer may have waited in a paused process for any time.
    pub fn record_relayed_proof(&mut self, requested_at: MonotonicTime, age: Duration) {
        if let Some(micros) = micros_before(requested_at, age) {
            self.record_proof(MonotonicTime::from_micros(micros));
        }
    }

    /// Records that `zone` finds the store out.
    pub fn record_outage(&mut self, zone: ZoneId, evidence: OutageEvidence) {
        let kept = self.outages.entry(zone).or_insert(evidence);
        if evidence.requested_at >= kept.requested_at {
            *kept = evidence;
        }
    }

    /// Records that `zone` reaches the store again.
    pub fn clear_outage(&mut self, zone: &ZoneId) {
        self.outages.remove(zone);
    }

    /// Returns the age of the newest proof.
    #[must_use]
    pub fn get_proof_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.newest_proof.map(|proof| now.saturating_since(proof))
    }

    /// Decides whether keys stand, for an instance that has adopted everything up
    /// to `known_revision` of the store.
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

    /// Returns whether a majority of zones find the store out and none of them
    /// knows more than this instance.
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
