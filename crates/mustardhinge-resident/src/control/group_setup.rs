use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    ChangeCause, GroupEpoch, GroupLeases, RecordRevision, StoreEra,
};
use mustardhinge_process::event;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::record_maintenance::listed_members;
use super::record_restore::{current_era, set_up_restored};
use super::{ControlState, GroupRecord};
use crate::adapter::{
    PlatformClient, ProxyStatement, ServerRole, SessionCodec, StatusReport, WriteOutcome,
};
use crate::group::GroupState;
use crate::session::request_status;

/// Time to wait for failing targets after all others have responded: a few round trips.
const FAILING_TARGET_WAIT: Duration = Duration::from_millis(40);
/// Delay before a failed setup is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Creates a new leader's state for a group from the group's record or, if there is none, from the
/// status of its targets.
pub(super) async fn set_up_group<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    group: Rc<GroupState>,
) {
    let service = group.service().clone();
    while control
        .node
        .election
        .borrow()
        .may_grant(control.node.clock.now())
    {
        if try_set_up::<W, P>(&control, &group).await {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    control.busy_groups.borrow_mut().remove(&service);
    control.wake.notify_one();
}

/// Tries to create the state of a group. Returns whether it succeeded.
async fn try_set_up<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
) -> bool {
    let service = group.service();
    let Ok(stored) = read_group_record(control, service).await else {
        return false;
    };
    let era = current_era(control);
    let is_lost = match &stored {
        Some((_, record)) => record.era < era,
        None => era > StoreEra::default(),
    };
    if is_lost {
        let copy = stored.map(|(_, record)| record);
        return set_up_restored::<W, P>(control, group, copy).await;
    }
    if let Some((revision, record)) = stored {
        inherit_orders(control, &record);
        let primary = record.primary.clone();
        let leases = if record.is_confirmed {
            GroupLeases::new(service.clone(), record.epoch, primary, record.term)
                .with_members(record.members.clone())
        } else {
            let now = control.node.clock.now();
            GroupLeases::unconfirmed(service.clone(), record.epoch, primary, record.term, now)
                .replacing(record.replaced.clone(), record.members.clone())
        };
        control
            .records
            .borrow_mut()
            .insert(service.clone(), (revision, record));
        control.begin_group(leases);
        return true;
    }
    let statuses = query_targets::<W>(group, |_| false).await;
    let Some((primary, report)) = find_primary(&statuses) else {
        return false;
    };
    let epoch = GroupEpoch::new(1);
    let members = listed_members(control, group, primary);
    let record = NewGroupRecord::confirmed(epoch, primary, report.term).members(&members);
    if !write_group_record(control, service, record).await {
        return false;
    }
    let leases = GroupLeases::new(service.clone(), epoch, primary.clone(), report.term);
    control.begin_group(leases.with_members(members));
    true
}

/// Binds the next change to the target of a recorded order, which the leader before may have sent right
/// before it was replaced.
pub(super) fn inherit_orders<P>(control: &ControlState<P>, record: &GroupRecord) {
    if record.may_have_orders() {
        let now = control.node.clock.now();
        let mut orders = control.promotion_orders.borrow_mut();
        let orders = orders.entry(record.service.clone()).or_default();
        orders.inherit(&record.primary, now);
    }
}

/// Requests the roles and positions of all targets of a group, and omits targets that don't
/// respond.
///
/// Waits for targets that are already failing only until the others have responded plus
/// [`FAILING_TARGET_WAIT`], since callers are waiting for the change. Waits longer for those that
/// `is_needed` returns true for.
pub(super) async fn query_targets<W: SessionCodec>(
    group: &GroupState,
    is_needed: impl Fn(&TargetId) -> bool,
) -> Vec<(TargetId, StatusReport)> {
    let mut healthy = JoinSet::new();
    let mut failing = JoinSet::new();
    for target in group.targets() {
        let queries = if target.health().is_failing() && !is_needed(&target.id()) {
            &mut failing
        } else {
            &mut healthy
        };
        queries.spawn_local(async move {
            let response = request_status::<W>(&target, &ProxyStatement::Status).await;
            let report = response.ok().and_then(|(report, _)| report)?;
            Some((target.id(), report))
        });
    }
    let mut statuses = Vec::new();
    while let Some(response) = healthy.join_next().await {
        statuses.extend(response.ok().flatten());
    }
    let failing_responses = async {
        while let Some(response) = failing.join_next().await {
            statuses.extend(response.ok().flatten());
        }
    };
    // The change proceeds without the targets that fail to respond in time.
    let _ = timeout(FAILING_TARGET_WAIT, failing_responses).await;
    statuses
}

/// Returns the primary with the highest term.
pub(super) fn find_primary(
    statuses: &[(TargetId, StatusReport)],
) -> Option<(&TargetId, StatusReport)> {
    let primaries = statuses
        .iter()
        .filter(|(_, report)| report.role == ServerRole::Primary);
    primaries
        .max_by_key(|(_, report)| report.term)
        .map(|(target, report)| (target, *report))
}

/// The new content of a group's record.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewGroupRecord<'a> {
    epoch: GroupEpoch,
    primary: &'a TargetId,
    term: LeaderTerm,
    is_confirmed: bool,
    replaced: Option<&'a TargetId>,
    members: &'a [TargetId],
    is_order_pending: bool,
}

impl<'a> NewGroupRecord<'a> {
    /// Creates the record of a target that is known to be primary.
    pub(super) const fn confirmed(
        epoch: GroupEpoch,
        primary: &'a TargetId,
        term: LeaderTerm,
    ) -> Self {
        Self {
            epoch,
            primary,
            term,
            is_confirmed: true,
            replaced: None,
            members: &[],
            is_order_pending: false,
        }
    }

    /// Creates the record of a target that is about to be promoted in the place of `replaced`, if that
    /// is known.
    pub(super) const fn planned(
        epoch: GroupEpoch,
        primary: &'a TargetId,
        term: LeaderTerm,
        replaced: Option<&'a TargetId>,
    ) -> Self {
        Self {
            epoch,
            primary,
            term,
            is_confirmed: false,
            replaced,
            members: &[],
            is_order_pending: false,
        }
    }

    /// Sets whether a repeated order to promote the primary may still take effect.
    pub(super) const fn order_pending(mut self, is_pending: bool) -> Self {
        self.is_order_pending = is_pending;
        self
    }

    /// Sets the replicas that may have confirmed commits.
    pub(super) const fn members(mut self, members: &'a [TargetId]) -> Self {
        self.members = members;
        self
    }
}

/// Writes a group's record. Returns whether the write is known to have succeeded.
pub(super) async fn write_group_record<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    new: NewGroupRecord<'_>,
) -> bool {
    let era = current_era(control);
    if !may_write_records(control, era) {
        return false;
    }
    let record = GroupRecord {
        service: service.clone(),
        epoch: new.epoch,
        primary: new.primary.clone(),
        term: new.term,
        is_confirmed: new.is_confirmed,
        replaced: new.replaced.cloned(),
        members: new.members.to_vec(),
        is_order_pending: new.is_order_pending,
        fence: control.node.election.borrow().highest_fence(),
        era,
    };
    let known = control.records.borrow().get(service).cloned();
    let expected = known
        .map(|(revision, _)| revision)
        .filter(|revision| revision.era() == era);
    let name = GroupRecord::name_of(service);
    let body = serde_json::to_value(&record).unwrap_or_default();
    match control.platform.write_record(&name, body, expected).await {
        WriteOutcome::Done(revision) => {
            control
                .records
                .borrow_mut()
                .insert(service.clone(), (revision, record));
            true
        }
        response => {
            log::warn!("write of record {name} failed or is unconfirmed: {response:?}");
            // The outcome may be unknown, so the stored record decides.
            match read_group_record(control, service).await {
                Ok(Some((revision, stored))) => {
                    let is_written = stored == record;
                    control
                        .records
                        .borrow_mut()
                        .insert(service.clone(), (revision, stored));
                    is_written
                }
                Ok(None) => {
                    control.records.borrow_mut().remove(service);
                    false
                }
                Err(()) => false,
            }
        }
    }
}

/// Returns whether this instance may write group records: after a restore of the store, only once
/// its own leadership is recorded there again.
fn may_write_records<P>(control: &ControlState<P>, era: StoreEra) -> bool {
    let election = control.node.election.borrow();
    let held = election.held_record();
    era == StoreEra::default() || held.is_some_and(|(record, _, _)| record.era == era)
}

pub(super) async fn read_group_record<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Result<Option<(RecordRevision, GroupRecord)>, ()> {
    let name = GroupRecord::name_of(service);
    let stored = match control.platform.read_record(&name).await {
        Ok(stored) => stored,
        Err(error) => {
            control.record_store_result(Err(&error));
            return Err(());
        }
    };
    control.update_store_era();
    let Some((revision, body)) = stored else {
        return Ok(None);
    };
    match serde_json::from_value(body) {
        Ok(record) => Ok(Some((revision, record))),
        Err(error) => {
            event::ENTRY_IGNORED.log(format_args!("record={name} error={:?}", error.to_string()));
            Err(())
        }
    }
}

/// Returns whether the current primary may be kept if it is still primary.
pub(super) const fn may_keep_primary(cause: ChangeCause, was_failing: bool) -> bool {
    match cause {
        ChangeCause::Leaving => false,
        ChangeCause::Displaced | ChangeCause::Abandoned => true,
        ChangeCause::Unreachable => was_failing,
    }
}
