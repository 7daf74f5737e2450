use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{ChangeCause, GroupEpoch, GroupLeases, RecordRevision};
use mustardhinge_process::event;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{ControlState, GroupRecord};
use crate::group::GroupState;
use crate::seam::{
    OwnStatement, PlatformClient, ServerRole, SessionWire, StatusReport, WriteAnswer,
};
use crate::session::ask_status;

/// How long a target that fails is waited for after the others have answered: a few round
/// trips.
const FAILING_TARGET_WAIT: Duration = Duration::from_millis(40);
/// Pause after a step that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Opens a new holder's books on a group: from its record, or, if it has none, from what
/// its targets say.
pub(super) async fn set_up_group<W: SessionWire, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    group: Rc<GroupState>,
) {
    let service = group.service().clone();
    while control
        .node
        .duty
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

async fn try_set_up<W: SessionWire, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
) -> bool {
    let service = group.service();
    let Ok(stored) = read_group_record(control, service).await else {
        return false;
    };
    if let Some((revision, record)) = stored {
        let primary = record.primary.clone();
        let leases = if record.is_confirmed {
            GroupLeases::new(service.clone(), record.epoch, primary, record.term)
        } else {
            let now = control.node.clock.now();
            GroupLeases::unconfirmed(service.clone(), record.epoch, primary, record.term, now)
        };
        control
            .records
            .borrow_mut()
            .insert(service.clone(), (revision, record));
        control
            .group_leases
            .borrow_mut()
            .insert(service.clone(), leases);
        return true;
    }
    let statuses = query_targets::<W>(group).await;
    let Some((primary, report)) = find_primary(&statuses) else {
        return false;
    };
    let epoch = GroupEpoch::new(1);
    let record = NewGroupRecord::confirmed(epoch, primary, report.term);
    if !write_group_record(control, service, record).await {
        return false;
    }
    let leases = GroupLeases::new(service.clone(), epoch, primary.clone(), report.term);
    control
        .group_leases
        .borrow_mut()
        .insert(service.clone(), leases);
    true
}

/// Asks all targets of a group for their roles and positions; those that don't answer are
/// left out. Those that fail already are waited for only as long as the others take, and a
/// moment more, since callers wait for the change.
pub(super) async fn query_targets<W: SessionWire>(
    group: &GroupState,
) -> Vec<(TargetId, StatusReport)> {
    let mut healthy = JoinSet::new();
    let mut failing = JoinSet::new();
    for target in group.targets() {
        let queries = if target.health().is_failing() {
            &mut failing
        } else {
            &mut healthy
        };
        queries.spawn_local(async move {
            let response = ask_status::<W>(&target, &OwnStatement::Status).await;
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
    // What fails need not answer; the change goes on without it.
    let _ = timeout(FAILING_TARGET_WAIT, failing_responses).await;
    statuses
}

/// Finds the target that leads in the greatest term.
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

/// What a group's record is to say.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewGroupRecord<'a> {
    epoch: GroupEpoch,
    primary: &'a TargetId,
    term: LeaderTerm,
    is_confirmed: bool,
}

impl<'a> NewGroupRecord<'a> {
    /// Makes the record of a primary that leads.
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
        }
    }

    /// Makes the record of a target that is about to be promoted.
    pub(super) const fn planned(
        epoch: GroupEpoch,
        primary: &'a TargetId,
        term: LeaderTerm,
    ) -> Self {
        Self {
            epoch,
            primary,
            term,
            is_confirmed: false,
        }
    }
}

/// Writes a group's record. Returns whether it is certainly written.
pub(super) async fn write_group_record<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    new: NewGroupRecord<'_>,
) -> bool {
    let record = GroupRecord {
        service: service.clone(),
        epoch: new.epoch,
        primary: new.primary.clone(),
        term: new.term,
        is_confirmed: new.is_confirmed,
        fence: control.node.duty.borrow().highest_fence(),
    };
    let known = control.records.borrow().get(service).cloned();
    let expected = known.map(|(revision, _)| revision);
    let name = GroupRecord::name_of(service);
    let body = serde_json::to_value(&record).unwrap_or_default();
    match control.platform.write_record(&name, body, expected).await {
        WriteAnswer::Done(revision) => {
            control
                .records
                .borrow_mut()
                .insert(service.clone(), (revision, record));
            true
        }
        response => {
            log::warn!("record {name} not written: {response:?}");
            // It may have been written: what stands there now decides.
            match read_group_record(control, service).await {
                Ok(Some((revision, stored))) => {
                    let is_written = stored == record;
                    control
                        .records
                        .borrow_mut()
                        .insert(service.clone(), (revision, stored));
                    is_written
                }
                _ => false,
            }
        }
    }
}

async fn read_group_record<P: PlatformClient>(
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

/// Returns whether the present primary is to be kept if it turns out to lead.
pub(super) const fn may_keep_primary(cause: ChangeCause, was_failing: bool) -> bool {
    match cause {
        ChangeCause::Leaving => false,
        ChangeCause::Displaced => true,
        ChangeCause::Unreachable => was_failing,
    }
}
