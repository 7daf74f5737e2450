use std::time::Duration;

use mustardhinge_core::key::{KeyValidity, OutageEvidence, ProofClock};
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::TraceDecision;

/// The zones and the bound on the age of proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProofSetup {
    /// The number of zones.
    pub zones: usize,
    /// The greatest age of proof, in milliseconds.
    pub bound_ms: u64,
}

/// What an instance learns about whether its documents are current.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum ProofInput {
    /// The store answered a question.
    StoreAnswered {
        /// When it was asked, in microseconds.
        asked_us: u64,
    },
    /// A peer answered with the age of its own proof.
    PeerAnswered {
        /// When it was asked, in microseconds.
        asked_us: u64,
        /// The age, in milliseconds.
        age_ms: u64,
    },
    /// A zone says that it can't reach the store.
    ZoneWithoutStore {
        /// The zone.
        zone: ZoneId,
        /// When it was asked, in microseconds.
        asked_us: u64,
        /// The greatest revision that it knows.
        known_revision: u64,
    },
    /// A statement with a key is about to be sent.
    Statement {
        /// The revision that the instance has adopted.
        known_revision: u64,
    },
}

/// Replays into [`ProofClock`]: when keyed statements may run.
#[derive(Debug)]
pub struct ProofDecision {
    clock: ProofClock,
    bound: Duration,
}

impl TraceDecision for ProofDecision {
    const NAME: &'static str = "proof_clock";
    type Setup = ProofSetup;
    type Input = ProofInput;

    fn start(setup: ProofSetup) -> anyhow::Result<Self> {
        Ok(Self {
            clock: ProofClock::new(setup.zones),
            bound: Duration::from_millis(setup.bound_ms),
        })
    }

    fn apply(&mut self, input: ProofInput, now: MonotonicTime) -> anyhow::Result<Vec<String>> {
        let moment = MonotonicTime::from_micros;
        match input {
            ProofInput::StoreAnswered { asked_us } => self.clock.record_proof(moment(asked_us)),
            ProofInput::PeerAnswered { asked_us, age_ms } => {
                let age = Duration::from_millis(age_ms);
                self.clock.record_relayed_proof(moment(asked_us), age);
            }
            ProofInput::ZoneWithoutStore {
                zone,
                asked_us,
                known_revision,
            } => {
                let evidence = OutageEvidence {
                    requested_at: moment(asked_us),
                    known_revision,
                };
                self.clock.record_outage(zone, evidence);
            }
            ProofInput::Statement { known_revision } => {
                let standing = self.clock.key_validity(known_revision, self.bound, now);
                return Ok(vec![match standing {
                    KeyValidity::Fresh => "may run".to_owned(),
                    KeyValidity::Unproven => "refused key_unproven".to_owned(),
                }]);
            }
        }
        Ok(Vec::new())
    }
}
