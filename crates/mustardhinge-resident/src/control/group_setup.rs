use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{ChangeCause, GroupEpoch, GroupLeases, RecordRevision};
use mustardhinge_process::event;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{ControlState, GroupRecord};
use crate::adapter::{
    PlatformClient, ProxyStatement, ServerRole, SessionCodec, StatusReport, WriteOutcome,
};
use crate::group::GroupState;
use crate::session::ask_status;

/// How long a target that fails is waited for after the others have answered: a few round
/// trips.
const FAILING_PATIENCE: Duration = Duration::from_millis(40);
/// Pause after a step that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Opens a new holder's books on a group: from its record, or, if it has none, from what
/// its targets say.
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
        sleep(RETRY_PAUSE).await;
    }
    control.in_work.borrow_mut().remove(&service);
    control.wake.notify_one();
}

async fn try_set_up<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
) -> bool {
    let service = group.service();
    let Ok(stored) = read_record(control, service).await else {
        return false;
    };
    if let Some((revision, record)) = stored {
        let primary = record.primary.clone();
        let desk = if record.is_confirmed {
            GroupLeases::new(service.clone(), record.epoch, primary, record.term)
        } else {
            let now = control.node.clock.now();
            GroupLeases::unconfirmed(service.clone(), record.epoch, primary, record.term, now)
        };
        control
            .records
            .borrow_mut()
            .insert(service.clone(), (revision, record));
        control.desks.borrow_mut().insert(service.clone(), desk);
        return true;
    }
    let statuses = ask_all::<W>(group).await;
    let Some((leader, report)) = find_leader(&statuses) else {
        return false;
    };
    let epoch = GroupEpoch::new(1);
    let record = NewRecord::confirmed(epoch, leader, report.term);
    if !write_record(control, service, record).await {
        return false;
    }
    let desk = GroupLeases::new(service.clone(), epoch, leader.clone(), report.term);
    control.desks.borrow_mut().insert(service.clone(), desk);
    true
}

/// Asks all targets of a group for their roles and positions; those that don't answer are
/// left out. Those that fail already are waited for only as long as the others take, and a
/// moment more, since callers wait for the change.
pub(super) async fn ask_all<W: SessionCodec>(group: &GroupState) -> Vec<(TargetId, StatusReport)> {
    let mut sound = JoinSet::new();
    let mut failing = JoinSet::new();
    for target in group.targets() {
        let asked = if target.health().is_failing() {
            &mut failing
        } else {
            &mut sound
        };
        asked.spawn_local(async move {
            let answer = ask_status::<W>(&target, &ProxyStatement::Status).await;
            let report = answer.ok().and_then(|(report, _)| report)?;
            Some((target.id(), report))
        });
    }
    let mut statuses = Vec::new();
    while let Some(answer) = sound.join_next().await {
        statuses.extend(answer.ok().flatten());
    }
    let late = async {
        while let Some(answer) = failing.join_next().await {
            statuses.extend(answer.ok().flatten());
        }
    };
    // What fails need not answer; the change goes on without it.
    let _ = timeout(FAILING_PATIENCE, late).await;
    statuses
}

/// Finds the target that leads in the greatest term.
pub(super) fn find_leader(
    statuses: &[(TargetId, StatusReport)],
) -> Option<(&TargetId, StatusReport)> {
    let leaders = statuses
        .iter()
        .filter(|(_, report)| report.role == ServerRole::Primary);
    leaders
        .max_by_key(|(_, report)| report.term)
        .map(|(target, report)| (target, *report))
}

/// What a group's record is to say.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewRecord<'a> {
    epoch: GroupEpoch,
    primary: &'a TargetId,
    term: LeaderTerm,
    is_confirmed: bool,
}

impl<'a> NewRecord<'a> {
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
pub(super) async fn write_record<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    new: NewRecord<'_>,
) -> bool {
    let record = GroupRecord {
        service: service.clone(),
        epoch: new.epoch,
        primary: new.primary.clone(),
        term: new.term,
        is_confirmed: new.is_confirmed,
        fence: control.node.election.borrow().highest_fence(),
    };
    let known = control.records.borrow().get(service).cloned();
    let expected = known.map(|(revision, _)| revision);
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
        answer => {
            log::warn!("record {name} not written: {answer:?}");
            // It may have been written: what stands there now decides.
            match read_record(control, service).await {
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

async fn read_record<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Result<Option<(RecordRevision, GroupRecord)>, ()> {
    let name = GroupRecord::name_of(service);
    let stored = match control.platform.read_record(&name).await {
        Ok(stored) => stored,
        Err(error) => {
            control.note_store(Err(&error));
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
pub(super) const fn may_stay(cause: ChangeCause, was_failing: bool) -> bool {
    match cause {
        ChangeCause::Leaving => false,
        ChangeCause::Displaced => true,
        ChangeCause::Unreachable => was_failing,
    }
}
