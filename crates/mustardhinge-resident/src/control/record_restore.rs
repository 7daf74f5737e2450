//! Group records after the platform's store was restored from an older copy.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    GroupEpoch, GroupLeases, GroupPhase, LeaseGrant, RecordRevision, SetupQuorum, StoreEra,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::group_setup::{
    NewGroupRecord, find_primary, inherit_orders, query_targets, read_group_record,
    write_group_record,
};
use super::primary_change::is_order_pending;
use super::{ControlState, GroupRecord};
use crate::adapter::{PlatformClient, SessionCodec, StatusReport};
use crate::group::GroupState;

/// Time after which a new leader sets up groups whose records were lost. Three requests of each
/// instance arrive in it, which report the epochs, and orders to promote of the last leader have
/// timed out: it sent them at most 1.7 s after its last renewal, and the claim came 2 s after that.
const REPORT_WAIT: Duration = Duration::from_millis(1_500);
/// Delay after a failed attempt to write a record again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns the era of the store, which is 0 before the first response.
pub(super) fn current_era<P>(control: &ControlState<P>) -> StoreEra {
    control.store_era.get().unwrap_or_default()
}

/// Records the epochs that an instance reports to a leader that may not know them.
pub(super) fn record_epochs<P>(control: &ControlState<P>, epochs: &[LeaseGrant]) {
    let mut reported = control.reported_epochs.borrow_mut();
    for epoch in epochs {
        let is_newer = reported
            .get(&epoch.service)
            .is_none_or(|known| known.epoch < epoch.epoch);
        if is_newer {
            reported.insert(epoch.service.clone(), epoch.clone());
        }
    }
}

/// Returns the epochs to report in a request sent at `now`: those that a leader may not know
/// because the store lost their records. Empty once a leader has answered such a report.
///
/// An instance that can't reach the store recognizes a leader after a restore by its fence.
pub(super) fn epochs_to_report<P>(
    control: &ControlState<P>,
    now: MonotonicTime,
) -> Vec<LeaseGrant> {
    let fence = control.node.election.borrow().highest_fence();
    let is_after_restore = fence >= StoreEra::default().next().counter_floor();
    if !is_after_restore || control.answered_report.get() == Some(fence) {
        return Vec::new();
    }
    control.sent_report.set(Some((fence, now.as_micros())));
    control.node.leases.borrow().known_epochs()
}

/// Records a grant, which answers the last report if it answers the same request.
pub(super) fn record_report_answer<P>(control: &ControlState<P>, fence: u64, requested_at: u64) {
    if control.sent_report.get() == Some((fence, requested_at)) {
        control.answered_report.set(Some(fence));
    }
}

/// Creates a new leader's state for a group whose record was lost or comes from an older copy.
/// Returns whether it succeeded.
///
/// No primary is granted before the targets were checked: the state starts as that of a primary
/// that may not have been promoted, in a term that is at least the highest one known anywhere.
pub(super) async fn set_up_restored<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    copy: Option<GroupRecord>,
) -> bool {
    let now = control.node.clock.now();
    let waited = now.saturating_since(control.leader_since.get());
    if waited < REPORT_WAIT {
        sleep(REPORT_WAIT - waited).await;
        return false;
    }
    let service = group.service();
    record_epochs(control, &control.node.leases.borrow().known_epochs());
    let statuses = query_targets::<W>(group, |_| false).await;
    let quorum = SetupQuorum {
        responded: statuses.len(),
        listed: group.targets().len(),
        expired: control.node.count_lost_targets(service),
    };
    let claimed_at = control.leader_since.get();
    if !quorum.is_reached(control.node.clock.now().saturating_since(claimed_at)) {
        return false;
    }
    let reported = control.reported_epochs.borrow().get(service).cloned();
    if let Some(copy) = &copy {
        inherit_orders(control, copy);
    }
    let members = copy.as_ref().map(|record| record.members.clone());
    let Some(known) = newest_known(copy, reported, &statuses) else {
        return false;
    };
    let (epoch, primary, term) = known;
    let floor = GroupEpoch::new(current_era(control).counter_floor());
    let now: MonotonicTime = control.node.clock.now();
    let known = primary.clone();
    let leases = GroupLeases::unconfirmed(service.clone(), epoch.max(floor), primary, term, now)
        .replacing(Some(known), members.unwrap_or_default());
    control.begin_group(leases);
    true
}

/// Returns the highest known epoch with its primary, and the highest term known anywhere.
fn newest_known(
    copy: Option<GroupRecord>,
    reported: Option<LeaseGrant>,
    statuses: &[(TargetId, StatusReport)],
) -> Option<(GroupEpoch, TargetId, LeaderTerm)> {
    let copied = copy.map(|record| (record.epoch, record.primary, record.term));
    let reported = reported.map(|grant| (grant.epoch, grant.primary, grant.term));
    let seen = statuses
        .iter()
        .flat_map(|(_, report)| [report.term, report.received.term])
        .max();
    let from_targets = find_primary(statuses)
        .map(|(target, report)| (GroupEpoch::default(), target.clone(), report.term));
    let known = [copied, reported, from_targets];
    let term = known.iter().flatten().map(|(_, _, term)| *term).max();
    let (epoch, primary, _) = known.into_iter().flatten().max_by_key(|known| known.0)?;
    Some((epoch, primary, term.max(seen)?))
}

/// Writes the records of the groups again that the leader knows and a restored store doesn't have.
pub(super) fn restore_records<P: PlatformClient>(control: &Rc<ControlState<P>>) {
    let era = current_era(control);
    let has_own_record = {
        let election = control.node.election.borrow();
        election
            .held_record()
            .is_some_and(|(record, _, _)| record.era == era)
    };
    if era == StoreEra::default() || !has_own_record {
        return;
    }
    let is_current = |service: &ServiceId| {
        let records = control.records.borrow();
        let known = records.get(service);
        known.is_some_and(|(revision, record)| revision.era() == era && record.era == era)
    };
    for (service, leases) in &*control.group_leases.borrow() {
        let is_serving = leases.phase() == GroupPhase::Serving;
        if !is_serving || is_current(service) {
            continue;
        }
        if control.busy_groups.borrow_mut().insert(service.clone()) {
            spawn_local(restore_record(Rc::clone(control), leases.clone()));
        }
    }
}

async fn restore_record<P: PlatformClient>(control: Rc<ControlState<P>>, leases: GroupLeases) {
    let service = leases.to_grant().service;
    if !try_restore(&control, &service, &leases).await {
        sleep(RETRY_DELAY).await;
    }
    control.busy_groups.borrow_mut().remove(&service);
}

async fn try_restore<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    leases: &GroupLeases,
) -> bool {
    let Ok(copy) = read_group_record(control, service).await else {
        return false;
    };
    // A record of this era comes from a later leader, which may have found another primary.
    let is_restored = copy
        .as_ref()
        .is_some_and(|(revision, record)| record.era >= revision.era());
    let now = control.node.clock.now();
    if is_restored {
        return copy.is_some_and(|copy| keep_own_record(control, copy));
    }
    if !control.node.election.borrow().may_grant(now) {
        return false;
    }
    match copy {
        Some(copy) => control.records.borrow_mut().insert(service.clone(), copy),
        None => control.records.borrow_mut().remove(service),
    };
    let members: Vec<_> = leases.members().iter().cloned().collect();
    let record = NewGroupRecord::confirmed(leases.epoch(), leases.primary(), leases.term());
    let is_order_pending = is_order_pending(control, service, now);
    let record = record.members(&members).order_pending(is_order_pending);
    write_group_record(control, service, record).await
}

/// Keeps a stored record that this leader has written itself, by a call whose response was lost.
/// Returns whether it has. Another leader's record is read again later, since this leader is about
/// to learn that it was replaced.
fn keep_own_record<P>(
    control: &ControlState<P>,
    (revision, record): (RecordRevision, GroupRecord),
) -> bool {
    let own_fence = {
        let election = control.node.election.borrow();
        election.held_record().map(|(held, _, _)| held.fence)
    };
    let is_own = own_fence == Some(record.fence);
    if is_own {
        let service = record.service.clone();
        control
            .records
            .borrow_mut()
            .insert(service, (revision, record));
    }
    is_own
}
