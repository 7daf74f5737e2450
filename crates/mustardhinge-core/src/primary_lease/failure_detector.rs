use std::collections::HashMap;
use std::time::Duration;

use super::PrimaryEvidence;
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// Older evidence is ignored; three requests of an instance may be lost.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(1_600);
/// An instance reports continued responses with each request; two requests may be late or lost.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1_100);
/// Unresponsive time that counts as a failure if a majority of the users observes it: several
/// times the longest usual service time.
const COMMON_SILENCE_MS: u32 = 450;
/// Refused connections count as a failure sooner, since the address itself responds.
const COMMON_REFUSAL_MS: u32 = 150;
/// Unresponsive time that counts as a failure if only some users observe it, so that a short
/// network disturbance at a few instances doesn't replace the primary.
const PARTIAL_SILENCE_MS: u32 = 1_500;

/// Decides from the instances' evidence whether a primary has failed.
///
/// Load pattern: a crashed primary fails for all users at once. A primary behind a partition
/// fails for some users and is replaced if they are a third or more. Occasional slow or lost
/// responses do not replace it.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    reports: HashMap<InstanceId, (MonotonicTime, PrimaryEvidence)>,
}

impl FailureDetector {
    /// Records the evidence of one instance.
    pub fn report(&mut self, instance: InstanceId, evidence: PrimaryEvidence, now: MonotonicTime) {
        self.reports.insert(instance, (now, evidence));
    }

    /// Clears all evidence, for a new primary.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Returns whether the primary has failed.
    #[must_use]
    pub fn is_failed(&self, now: MonotonicTime) -> bool {
        let (mut answers, mut fails, mut common, mut partial) = (0, 0, 0, 0);
        for (at, evidence) in self.reports.values() {
            let age = now.saturating_since(*at);
            if age > MAX_EVIDENCE_AGE {
                continue;
            }
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            let (silence, threshold) = match evidence {
                PrimaryEvidence::Silent => continue,
                PrimaryEvidence::Answers => {
                    answers += u32::from(age <= MAX_RESPONSE_AGE);
                    continue;
                }
                PrimaryEvidence::Fails(ms) => (ms.saturating_add(age_ms), COMMON_SILENCE_MS),
                PrimaryEvidence::Refuses(ms) => (ms.saturating_add(age_ms), COMMON_REFUSAL_MS),
            };
            fails += 1;
            common += u32::from(silence >= threshold);
            partial += u32::from(silence >= PARTIAL_SILENCE_MS);
        }
        let users = answers + fails;
        common > 0 && common * 2 > users && fails * 4 >= users * 3
            || partial > 0 && partial * 3 >= users
    }
}
