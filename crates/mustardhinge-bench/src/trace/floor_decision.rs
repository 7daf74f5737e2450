use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{FloorAction, FloorSettings, FloorTracker, GroupMembers};
use serde::{Deserialize, Serialize};

use super::TraceDecision;
use super::parse_report::parse_report;

/// The servers and the waits of a round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloorSetup {
    /// The servers of the group.
    pub targets: Vec<TargetId>,
    /// The longest wait for a majority, in milliseconds.
    pub timeout_ms: u64,
    /// The wait for the other servers, in milliseconds.
    pub straggler_wait_ms: u64,
}

/// What happens to reads that need a floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum FloorInput {
    /// A read without token arrived.
    Join,
    /// A server reported.
    Report {
        /// The columns of the report.
        columns: Vec<String>,
        /// When the report was asked for, in microseconds.
        requested_us: u64,
    },
    /// Time passed.
    Expire,
}

/// Replays into [`FloorTracker`]: which floors reads without token get.
#[derive(Debug)]
pub struct FloorDecision {
    tracker: FloorTracker,
}

impl TraceDecision for FloorDecision {
    const NAME: &'static str = "floor_tracker";
    type Setup = FloorSetup;
    type Input = FloorInput;

    fn start(setup: FloorSetup) -> anyhow::Result<Self> {
        let settings = FloorSettings::new()
            .timeout(Duration::from_millis(setup.timeout_ms))
            .straggler_wait(Duration::from_millis(setup.straggler_wait_ms));
        let members = GroupMembers::new(setup.targets);
        Ok(Self {
            tracker: FloorTracker::new(members, settings),
        })
    }

    fn apply(&mut self, input: FloorInput, now: MonotonicTime) -> anyhow::Result<Vec<String>> {
        Ok(match input {
            FloorInput::Join => {
                let (round, action) = self.tracker.join(now);
                let joined = format!("joined round {round}");
                std::iter::once(joined)
                    .chain(action.map(describe))
                    .collect()
            }
            FloorInput::Report {
                columns,
                requested_us,
            } => {
                let requested_at = MonotonicTime::from_micros(requested_us);
                let report = parse_report(&columns)?;
                let actions = self.tracker.observe(&report, requested_at, now);
                actions.into_iter().map(describe).collect()
            }
            FloorInput::Expire => {
                let actions = self.tracker.expire(now);
                actions.into_iter().map(describe).collect()
            }
        })
    }
}

fn describe(action: FloorAction) -> String {
    match action {
        FloorAction::RequestReports(round) => format!("request reports for round {round}"),
        FloorAction::Complete { round, floor } => format!("round {round} yields {floor}"),
        FloorAction::Fail(round) => format!("round {round} fails"),
    }
}
