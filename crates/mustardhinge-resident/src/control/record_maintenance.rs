//! What the leader records of a group that serves: the replicas that may have confirmed commits of its
//! epoch, and whether an order to promote may still take effect.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{GroupLeases, GroupPhase};
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ControlState;
use super::group_setup::{NewGroupRecord, query_targets, write_group_record};
use super::primary_change::{is_order_pending, to_server_statuses};
use crate::adapter::{PlatformClient, SessionCodec};
use crate::group::GroupState;

/// Interval between status requests while a departed replica may have the only copy of a commit.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after a failed attempt to write the record.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns the replicas that may confirm commits of `primary`, or none if it acknowledges alone.
pub(super) fn listed_members<P>(
    control: &ControlState<P>,
    group: &GroupState,
    primary: &TargetId,
) -> Vec<TargetId> {
    let confirming = control.node.plan().confirming_replicas(group.service());
    if confirming.is_none() {
        return Vec::new();
    }
    let targets = group.targets().into_iter().map(|target| target.id());
    let mut members: Vec<_> = targets.filter(|target| target != primary).collect();
    members.sort_unstable();
    members
}

/// Keeps the record of a group that serves complete: its members, and whether an order to promote may
/// still take effect.
pub(super) fn maintain_record<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    now: MonotonicTime,
) {
    let service = group.service();
    if !control.node.plan().confirming_replicas(service).is_none() {
        follow_members::<W, P>(control, group, now);
    }
    if !is_recorded(control, service, now)
        && control.busy_groups.borrow_mut().insert(service.clone())
    {
        spawn_local(write_record(Rc::clone(control), service.clone()));
    }
}

/// Follows the list of servers. Asks for their positions while a member is missing.
fn follow_members<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    now: MonotonicTime,
) {
    let service = group.service();
    let targets = group.targets().into_iter();
    let listed = targets.filter(|target| !control.node.was_removed(target));
    let servers: Vec<_> = listed.map(|target| target.id()).collect();
    let mut group_leases = control.group_leases.borrow_mut();
    let Some(leases) = group_leases.get_mut(service) else {
        return;
    };
    for member in leases.record_listed(&servers, now) {
        event::MEMBER_DEPARTED.log(format_args!(
            "service={service} epoch={} member={member}",
            leases.epoch()
        ));
    }
    let has_departed = leases.members().has_departed();
    drop(group_leases);
    if has_departed && control.queried_members.borrow_mut().insert(service.clone()) {
        spawn_local(query_members::<W, P>(Rc::clone(control), Rc::clone(group)));
    }
}

/// Returns whether the group's record is up to date, or is none of the epoch that is served.
fn is_recorded<P>(control: &ControlState<P>, service: &ServiceId, now: MonotonicTime) -> bool {
    let group_leases = control.group_leases.borrow();
    let records = control.records.borrow();
    let (Some(leases), Some((_, record))) = (group_leases.get(service), records.get(service))
    else {
        return true;
    };
    let is_served = leases.phase() == GroupPhase::Serving
        && record.epoch == leases.epoch()
        && record.is_confirmed;
    let has_expired_order = record.is_order_pending && !is_order_pending(control, service, now);
    !is_served || !has_expired_order && record.members.iter().eq(leases.members().iter())
}

/// Asks the servers for their positions, and drops the departed members whose commits they have.
async fn query_members<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    group: Rc<GroupState>,
) {
    let service = group.service();
    let confirming = control.node.plan().confirming_replicas(service);
    let asked_at = control.node.clock.now();
    let epoch = {
        let group_leases = control.group_leases.borrow();
        group_leases.get(service).map(GroupLeases::epoch)
    };
    if let Some(epoch) = epoch {
        let statuses = query_targets::<W>(&group, |_| true).await;
        let now = control.node.clock.now();
        let statuses = to_server_statuses(&group, &statuses, now);
        // The position of a primary without a lease shows no end of what its replicas confirm.
        let is_leased = control.node.election.borrow().may_grant(now);
        let mut group_leases = control.group_leases.borrow_mut();
        if is_leased && let Some(leases) = group_leases.get_mut(service) {
            for member in leases.record_member_statuses(epoch, &statuses, confirming, asked_at) {
                event::MEMBER_COVERED.log(format_args!(
                    "service={service} epoch={epoch} member={member}"
                ));
            }
        }
    }
    sleep(STATUS_INTERVAL).await;
    control.queried_members.borrow_mut().remove(service);
    control.wake.notify_one();
}

/// Writes the group's record again for the epoch that is served.
async fn write_record<P: PlatformClient>(control: Rc<ControlState<P>>, service: ServiceId) {
    let current = {
        let group_leases = control.group_leases.borrow();
        group_leases.get(&service).map(|leases| {
            let members: Vec<_> = leases.members().iter().cloned().collect();
            (leases.to_grant(), members)
        })
    };
    if let Some((grant, members)) = current {
        let now = control.node.clock.now();
        let record = NewGroupRecord::confirmed(grant.epoch, &grant.primary, grant.term)
            .members(&members)
            .order_pending(is_order_pending(&control, &service, now));
        if !write_group_record(&control, &service, record).await {
            sleep(RETRY_DELAY).await;
        }
    }
    control.busy_groups.borrow_mut().remove(&service);
    control.wake.notify_one();
}
