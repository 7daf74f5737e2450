use std::time::{Duration, Instant};

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{
    AckTracker, FloorSettings, FloorTracker, GroupMembers, GroupView, ServerReport, ServerRole,
};

use super::{ProcessUsage, SlopePoint};

/// The numbers of groups measured.
const GROUP_COUNTS: [u32; 4] = [3, 100, 1_000, 13_000];

/// The reports measured at each size, in all.
const REPORTS: u32 = 400_000;

/// The servers of a group.
const SERVERS: u32 = 3;

/// The wait of an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// What an agent or entry holds of one group.
struct GroupState {
    view: GroupView,
    acks: AckTracker,
    floors: FloorTracker,
}

impl GroupState {
    fn new(number: u32) -> anyhow::Result<Self> {
        let names = (1..=SERVERS).map(|server| server_name(number, server));
        let names: Result<Vec<TargetId>, _> = names.collect();
        let members = GroupMembers::new(names?);
        Ok(Self {
            view: GroupView::new(members.clone()),
            acks: AckTracker::new(members.clone(), ACK_TIMEOUT),
            floors: FloorTracker::new(members, FloorSettings::new()),
        })
    }

    fn observe(&mut self, report: ServerReport, now: MonotonicTime) {
        self.acks.observe(&report);
        self.floors.observe(&report, now, now);
        self.view.observe(report, now, now);
    }
}

fn server_name(group: u32, server: u32) -> Result<TargetId, mustardhinge_core::ids::IdError> {
    format!("group-{group}-db-{server}").parse()
}

/// Measures the memory of a group's state and the time that a report takes.
pub(super) fn measure_groups() -> anyhow::Result<Vec<SlopePoint>> {
    GROUP_COUNTS.into_iter().map(measure_count).collect()
}

fn measure_count(count: u32) -> anyhow::Result<SlopePoint> {
    let before = ProcessUsage::read_own()?.resident_bytes;
    let groups: anyhow::Result<Vec<GroupState>> = (0..count).map(GroupState::new).collect();
    let mut groups = groups?;
    let time = feed_reports(&mut groups)?;
    let after = ProcessUsage::read_own()?.resident_bytes;
    let grown = after.saturating_sub(before);
    Ok(SlopePoint {
        slope: "groups".to_owned(),
        unit: "group".to_owned(),
        size: count.into(),
        cpu_us_per_operation: Some(time.as_secs_f64() * 1e6 / f64::from(REPORTS)),
        bytes_per_unit: (grown > 0)
            .then(|| u32::try_from(grown).map(f64::from))
            .transpose()?
            .map(|bytes| bytes / f64::from(count)),
        platform_calls_per_s: None,
    })
}

/// Feeds reports to the groups in turn; returns the time without making them.
fn feed_reports(groups: &mut [GroupState]) -> anyhow::Result<Duration> {
    let mut time = Duration::ZERO;
    let count = u32::try_from(groups.len())?;
    for round in 0..REPORTS.div_ceil(count * SERVERS) {
        let now = MonotonicTime::from_millis(u64::from(round) * 100);
        for (number, group) in (0..count).zip(groups.iter_mut()) {
            for server in 1..=SERVERS {
                let report = make_report(number, server, round)?;
                let start = Instant::now();
                group.observe(report, now);
                time += start.elapsed();
            }
        }
    }
    Ok(time)
}

fn make_report(group: u32, server: u32, round: u32) -> anyhow::Result<ServerReport> {
    let last = LogPosition::new(LeaderTerm::new(1), u64::from(round));
    Ok(ServerReport {
        target: server_name(group, server)?,
        role: if server == 1 {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        },
        term: last.term,
        last,
        applied: last,
        primary: Some(server_name(group, 1)?),
    })
}
