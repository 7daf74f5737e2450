use mustardhinge_core::failover::{
    ClaimOutcome, FailoverAction, FailoverEvent, FailoverMachine, FailoverSettings,
};
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::GroupMembers;
use serde::{Deserialize, Serialize};

use super::TraceDecision;
use super::parse_report::parse_report;

/// The servers, and which agent this is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverSetup {
    /// The servers of the group.
    pub targets: Vec<TargetId>,
    /// The rank of the agent; the first acts at once.
    pub rank: u32,
    /// The seed of its jitter.
    pub seed: u64,
}

/// What an agent learns of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum FailoverInput {
    /// Servers reported, all asked a millisecond ago.
    Reports {
        /// The columns of each report.
        reports: Vec<Vec<String>>,
    },
    /// A server's host refused the connection.
    Refused {
        /// The server.
        target: TargetId,
    },
    /// The store accepted a claim.
    ClaimWon {
        /// The term.
        term: u64,
    },
    /// The store did not answer a claim.
    StoreOut {
        /// The term.
        term: u64,
    },
    /// Another agent has claimed the term or a greater one.
    ClaimLost {
        /// The term claimed.
        term: u64,
    },
    /// A server answered a fence.
    FenceAnswered {
        /// The term.
        term: u64,
        /// The columns of its report.
        columns: Vec<String>,
        /// Whether it granted the term.
        granted: bool,
    },
    /// A server answered a promotion.
    PromoteAnswered {
        /// The term.
        term: u64,
        /// The columns of its report.
        columns: Vec<String>,
        /// Whether it is primary now.
        granted: bool,
    },
    /// Time passed.
    Tick,
}

/// Replays into [`FailoverMachine`]: who is fenced, promoted and followed, and when.
///
/// Requests for reports are left out of the outcomes.
#[derive(Debug)]
pub struct FailoverDecision {
    machine: FailoverMachine,
}

/// The time between a question to a server and its report, in a trace.
const REPORT_TIME: std::time::Duration = std::time::Duration::from_millis(1);

impl TraceDecision for FailoverDecision {
    const NAME: &'static str = "failover_machine";
    type Setup = FailoverSetup;
    type Input = FailoverInput;

    fn start(setup: FailoverSetup) -> anyhow::Result<Self> {
        let members = GroupMembers::new(setup.targets);
        let settings = FailoverSettings::new();
        let start = MonotonicTime::default();
        Ok(Self {
            machine: FailoverMachine::new(members, setup.rank, settings, setup.seed, start),
        })
    }

    fn apply(&mut self, input: FailoverInput, now: MonotonicTime) -> anyhow::Result<Vec<String>> {
        let mut actions = Vec::new();
        for event in to_events(input, now)? {
            actions.extend(self.machine.handle(event, now));
        }
        Ok(actions.iter().filter_map(describe).collect())
    }
}

fn to_events(input: FailoverInput, now: MonotonicTime) -> anyhow::Result<Vec<FailoverEvent>> {
    let claim = |term, outcome| FailoverEvent::ClaimResponse {
        term: LeaderTerm::new(term),
        outcome,
    };
    Ok(vec![match input {
        FailoverInput::Reports { reports } => {
            let events = reports.iter().map(|columns| {
                Ok(FailoverEvent::Reported {
                    report: parse_report(columns)?,
                    requested_at: now - REPORT_TIME,
                })
            });
            return events.collect();
        }
        FailoverInput::Refused { target } => FailoverEvent::ConnectionRefused { target },
        FailoverInput::ClaimWon { term } => claim(term, ClaimOutcome::Won),
        FailoverInput::StoreOut { term } => claim(term, ClaimOutcome::Unavailable),
        FailoverInput::ClaimLost { term } => {
            let lost = LeaderTerm::new(term);
            claim(term, ClaimOutcome::Lost { term: lost })
        }
        FailoverInput::FenceAnswered {
            term,
            columns,
            granted,
        } => FailoverEvent::FenceResponse {
            term: LeaderTerm::new(term),
            report: parse_report(&columns)?,
            granted,
        },
        FailoverInput::PromoteAnswered {
            term,
            columns,
            granted,
        } => FailoverEvent::PromoteResponse {
            term: LeaderTerm::new(term),
            report: parse_report(&columns)?,
            granted,
        },
        FailoverInput::Tick => FailoverEvent::Tick,
    }])
}

fn describe(action: &FailoverAction) -> Option<String> {
    Some(match action {
        FailoverAction::RequestReport { .. } => return None,
        FailoverAction::Claim { term } => format!("claim {term}"),
        FailoverAction::Fence { target, term } => format!("fence {target} at {term}"),
        FailoverAction::Promote { target, term } => format!("promote {target} at {term}"),
        FailoverAction::Follow {
            target,
            term,
            primary,
        } => format!("{target} follows {primary} at {term}"),
        FailoverAction::Publish { term, primary } => format!("publish {primary} at {term}"),
        FailoverAction::HoldWrites { until } => format!("hold writes until {until}"),
        FailoverAction::ReleaseWrites => "release writes".to_owned(),
        FailoverAction::RefuseSwitchover(refusal) => {
            format!("refuse the switchover: {}", refusal.label())
        }
    })
}
