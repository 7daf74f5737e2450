use std::collections::HashMap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{AckKey, AckOutcome, AckStatus, AckTracker, GroupMembers};
use serde::{Deserialize, Serialize};

use super::TraceDecision;
use super::parse_report::parse_report;

/// The servers, and how long a write waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AckSetup {
    /// The servers of the group.
    pub targets: Vec<TargetId>,
    /// The longest wait, in milliseconds.
    pub timeout_ms: u64,
}

/// What happens to writes that wait for a majority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum AckInput {
    /// A primary committed a write.
    Commit {
        /// A name for the write in the outcomes.
        write: String,
        /// The primary.
        primary: TargetId,
        /// The position of the commit.
        position: LogPosition,
    },
    /// A server reported.
    Report {
        /// The columns of the report.
        columns: Vec<String>,
    },
    /// Time passed.
    Expire,
}

/// Replays into [`AckTracker`]: which writes are acknowledged, and when.
#[derive(Debug)]
pub struct AckDecision {
    tracker: AckTracker,
    writes: HashMap<AckKey, String>,
}

impl AckDecision {
    fn name_outcomes(&mut self, outcomes: Vec<(AckKey, AckOutcome)>) -> Vec<String> {
        let mut actions: Vec<String> = outcomes
            .into_iter()
            .filter_map(|(key, outcome)| {
                let write = self.writes.remove(&key)?;
                Some(format!("{write}: {}", describe(outcome)))
            })
            .collect();
        actions.sort();
        actions
    }
}

impl TraceDecision for AckDecision {
    const NAME: &'static str = "ack_tracker";
    type Setup = AckSetup;
    type Input = AckInput;

    fn start(setup: AckSetup) -> anyhow::Result<Self> {
        let members = GroupMembers::new(setup.targets);
        Ok(Self {
            tracker: AckTracker::new(members, Duration::from_millis(setup.timeout_ms)),
            writes: HashMap::new(),
        })
    }

    fn apply(&mut self, input: AckInput, now: MonotonicTime) -> anyhow::Result<Vec<String>> {
        Ok(match input {
            AckInput::Commit {
                write,
                primary,
                position,
            } => match self.tracker.begin(&primary, position, now) {
                AckStatus::Waiting(key) => {
                    self.writes.insert(key, write);
                    Vec::new()
                }
                AckStatus::Resolved(outcome) => vec![format!("{write}: {}", describe(outcome))],
            },
            AckInput::Report { columns } => {
                let outcomes = self.tracker.observe(&parse_report(&columns)?);
                self.name_outcomes(outcomes)
            }
            AckInput::Expire => {
                let outcomes = self.tracker.expire(now);
                self.name_outcomes(outcomes)
            }
        })
    }
}

fn describe(outcome: AckOutcome) -> String {
    match outcome {
        AckOutcome::Acknowledged => "acknowledged".to_owned(),
        AckOutcome::Unknown(failure) => format!("unknown {failure}"),
    }
}
