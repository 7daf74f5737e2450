//! What a session remembers of its commits at several services.

use std::time::Duration;

use mustardhinge_core::placement::PositionHistory;
use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_core::session::{CommitTable, SessionCommit};
use proptest::prelude::*;

/// Number of services of the property test, more than a session keeps commits of.
const SERVICES: usize = 7;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(1), offset)
}

fn service(index: usize) -> ServiceId {
    format!("service-{index}").parse().unwrap()
}

/// The log of one service.
#[derive(Default)]
struct ServiceLog {
    length: u64,
    history: PositionHistory,
    own_commit: Option<LogPosition>,
}

#[derive(Clone, Debug)]
struct SessionStep {
    service: usize,
    /// Commits of other sessions before this step.
    others: u64,
    after_ms: u64,
    writes: bool,
}

fn session_step() -> impl Strategy<Value = SessionStep> {
    (0..SERVICES, 0..40_u64, 1..400_u64, any::<bool>()).prop_map(
        |(service, others, after_ms, writes)| SessionStep {
            service,
            others,
            after_ms,
            writes,
        },
    )
}

proptest! {
    /// Failure: a read at a service was placed by the session's position at another one, and missed the
    /// session's own commit.
    #[test]
    fn a_read_sees_the_last_commit_of_its_session_at_its_service(
        steps in proptest::collection::vec(session_step(), 1..60),
    ) {
        let epoch = GroupEpoch::default();
        let max_age = Duration::from_secs(1);
        let mut logs: Vec<_> = (0..SERVICES).map(|_| ServiceLog::default()).collect();
        let mut table = CommitTable::default();
        let mut now = at(5_000);
        for step in steps {
            now = now + Duration::from_millis(step.after_ms);
            let log = &mut logs[step.service];
            log.length += step.others;
            if step.writes {
                log.length += 1;
                log.own_commit = Some(position(log.length));
                table.record(SessionCommit {
                    service: service(step.service),
                    epoch,
                    position: position(log.length),
                    acknowledged_at: now,
                });
            }
            for log in &mut logs {
                log.history.observe(now, position(log.length));
            }
            for (index, log) in logs.iter().enumerate() {
                let required = table.requirement(&service(index), epoch, now - max_age);
                let floor = log.history.floor_since(required.since).max(required.position);
                prop_assert!(floor >= log.own_commit, "service {index}: {required:?}");
                // Commits at other services don't make a read refuse replicas that may serve it.
                prop_assert!(floor <= Some(position(log.length)), "service {index}: {required:?}");
            }
        }
    }
}

/// Failure: positions of another epoch of the service were compared, which may have been rolled back.
#[test]
fn a_commit_of_an_earlier_epoch_sets_no_position() {
    let mut table = CommitTable::default();
    table.record(SessionCommit {
        service: service(0),
        epoch: GroupEpoch::default(),
        position: position(9),
        acknowledged_at: at(900),
    });
    let next = GroupEpoch::default().next();
    let required = table.requirement(&service(0), next, at(500));
    assert_eq!((required.since, required.position), (at(500), None));
}
