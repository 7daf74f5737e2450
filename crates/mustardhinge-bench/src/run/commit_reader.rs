use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;
use mustardhinge_standins::target::statement::{SqlStatement, parse_statements};
use mustardhinge_standins::target::{RecordedOutcome, StatementRecord, TargetHandle};

use super::{FleetGroup, ObservedGroup};
use crate::history::TargetCommit;
use crate::load::WORK_TABLE;

/// Reads the commits of all targets of a group from their records.
///
/// A commit survives if no later term was opened below it: the opening entry
/// of a term stands right before its first commit, or last if it has none.
#[must_use]
pub fn read_commits(group: &FleetGroup, observed: &ObservedGroup) -> Vec<TargetCommit> {
    let mut commits = Vec::new();
    let mut first_offsets = BTreeMap::new();
    for target in &group.targets {
        let records = target.statements();
        for record in &records {
            if let Some(position) = position_of(record) {
                note_least(&mut first_offsets, position);
            }
        }
        commits.extend(collect_commits(group, target, &records));
    }
    let openings = find_openings(group, observed, &first_offsets);
    for commit in &mut commits {
        commit.survives = openings.iter().all(|(term, opening)| {
            *term <= commit.position.term || *opening > commit.position.offset
        });
    }
    commits
}

fn note_least(offsets: &mut BTreeMap<LeaderTerm, u64>, position: LogPosition) {
    let least = offsets.entry(position.term).or_insert(position.offset);
    *least = (*least).min(position.offset);
}

/// Returns the offset of the opening entry of each term but the first.
fn find_openings(
    group: &FleetGroup,
    observed: &ObservedGroup,
    first_offsets: &BTreeMap<LeaderTerm, u64>,
) -> Vec<(LeaderTerm, u64)> {
    observed
        .promotions
        .iter()
        .filter_map(|(target, term, _)| {
            let first = first_offsets.get(term).map(|offset| offset - 1);
            let last = group.targets[*target].report().last;
            let opening = first.or_else(|| (last.term == *term).then_some(last.offset))?;
            Some((*term, opening))
        })
        .collect()
}

fn collect_commits(
    group: &FleetGroup,
    target: &TargetHandle,
    records: &[StatementRecord],
) -> Vec<TargetCommit> {
    let mut commits: BTreeMap<LogPosition, Vec<(String, String)>> = BTreeMap::new();
    for record in records {
        if let Some(position) = position_of(record) {
            commits.entry(position).or_default().extend(rows_of(record));
        }
    }
    commits
        .into_iter()
        .filter(|(_, rows)| !rows.is_empty())
        .filter_map(|(position, rows)| {
            Some(TargetCommit {
                service: group.service.clone(),
                target: target.name().parse().ok()?,
                position,
                at: None,
                rows,
                survives: true,
            })
        })
        .collect()
}

fn position_of(record: &StatementRecord) -> Option<LogPosition> {
    match record.outcome {
        RecordedOutcome::Committed { position } => position,
        _ => None,
    }
}

/// Returns the rows of the work table that a record's statements write.
fn rows_of(record: &StatementRecord) -> Vec<(String, String)> {
    parse_statements(&record.text)
        .unwrap_or_default()
        .into_iter()
        .filter_map(|statement| match statement {
            SqlStatement::Update { table, key, value }
            | SqlStatement::Insert {
                table, key, value, ..
            } if table == WORK_TABLE => {
                let key = key.resolve(&record.parameters)?;
                Some((key, value.resolve(&record.parameters)?))
            }
            _ => None,
        })
        .collect()
}

/// Counts the reads of callers that targets ran: those at replicas, and all.
#[must_use]
pub fn count_reads(group: &FleetGroup, observed: &ObservedGroup) -> (u64, u64) {
    let (mut replica, mut all) = (0, 0);
    for (index, target) in group.targets.iter().enumerate() {
        for (number, record) in target.statements().iter().enumerate() {
            if is_callers_read(record) {
                all += 1;
                replica += u64::from(!observed.was_primary(index, number));
            }
        }
    }
    (replica, all)
}

fn is_callers_read(record: &StatementRecord) -> bool {
    let has_run = matches!(record.outcome, RecordedOutcome::Committed { .. });
    has_run && record.text.contains("SELECT") && record.text.contains("route=")
}
