//! Release of the leadership before a planned stop.

use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::{GroupPhase, LeaderRecord, RecordRevision};
use mustardhinge_process::event;
use tokio::time::sleep;

use super::ControlState;
use super::control_task::{LEADER_RECORD, is_handover_due};
use super::peer_exchange::send_leader_hint;
use crate::adapter::{PlatformClient, WriteOutcome};

/// Interval between the two notifications of a released leadership.
const RELEASE_NOTICE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the checks whether primaries that are due have been replaced.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of writes that release the leadership. The first one conflicts with a renewal that
/// was in flight.
const MAX_RELEASE_ATTEMPTS: usize = 3;

/// Leaves the election before a planned stop. Releases the leadership and notifies the known
/// instances if this one is the leader.
///
/// If a primary is due to be replaced, the leader does that first, for up to `handover_time`. Its
/// successor may replace primaries only after a lease, so leaders that stop in turn would otherwise
/// each put the change off.
pub async fn release_leadership<P: PlatformClient>(
    control: &ControlState<P>,
    handover_time: Duration,
) {
    control.node.election.borrow_mut().stop_claiming();
    let began_at = control.node.clock.now();
    while is_change_due(control, control.node.clock.now())
        && control.node.clock.now().saturating_since(began_at) < handover_time
    {
        sleep(CHANGE_CHECK_INTERVAL).await;
    }
    let now = control.node.clock.now();
    let release = {
        let mut election = control.node.election.borrow_mut();
        let release = election.release(now);
        election.retire();
        release
    };
    if let Some((record, revision)) = release {
        release_record(control, record, revision).await;
    }
}

/// Returns whether this instance is the leader and a primary is being replaced, or has to be.
fn is_change_due<P>(control: &ControlState<P>, now: MonotonicTime) -> bool {
    if control.node.election.borrow().held_record().is_none() {
        return false;
    }
    let groups = control.node.groups();
    groups.iter().any(|group| {
        let group_leases = control.group_leases.borrow();
        let Some(leases) = group_leases.get(group.service()) else {
            return group.targets().iter().any(|target| target.is_leaving());
        };
        let primary = group.find(leases.primary());
        leases.phase() != GroupPhase::Serving
            || primary
                .is_none_or(|primary| primary.is_leaving() || is_handover_due(group, &primary, now))
    })
}

/// Releases the leadership that `record` names, and notifies the known instances.
pub(super) async fn release_record<P: PlatformClient>(
    control: &ControlState<P>,
    record: LeaderRecord,
    revision: RecordRevision,
) {
    let mut released = LeaderRecord {
        released: true,
        ..record
    };
    let mut expected = revision;
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let body = serde_json::to_value(&released).unwrap_or_default();
        let response = control
            .platform
            .write_record(LEADER_RECORD, body, Some(expected))
            .await;
        event::LEADERSHIP_LOST.log(format_args!(
            "fence={} cause=stop answer={response:?}",
            released.fence
        ));
        if response != WriteOutcome::Conflict {
            break;
        }
        let Some((revision, record)) = read_renewed(control, &released).await else {
            return;
        };
        expected = revision;
        released.renewals = record.renewals;
    }
    for _ in 0..2 {
        let known = control.instances.borrow().addresses();
        for address in known {
            send_leader_hint(control, &released, address);
        }
        sleep(RELEASE_NOTICE_INTERVAL).await;
    }
}

/// Returns the stored record if it is a renewal of the one to release.
async fn read_renewed<P: PlatformClient>(
    control: &ControlState<P>,
    released: &LeaderRecord,
) -> Option<(RecordRevision, LeaderRecord)> {
    let stored = control.platform.read_record(LEADER_RECORD).await;
    let (revision, body) = stored.ok()??;
    let record: LeaderRecord = serde_json::from_value(body).ok()?;
    let is_own = record.fence == released.fence
        && record.holder == released.holder
        && record.incarnation == released.incarnation;
    (is_own && !record.released).then_some((revision, record))
}
