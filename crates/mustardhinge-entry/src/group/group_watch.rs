use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{
    AckKey, AckOutcome, AckStatus, AckTracker, FloorAction, FloorSettings, FloorTracker,
    GroupMembers, RoundNumber, ServerReport,
};
use mustardhinge_process::ProcessClock;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;

use crate::control::{AgentClient, EntryContext};

use super::{GroupCommand, GroupHandle, GroupSnapshot, TargetWatch, WatchDemand};

/// Timeout of a floor round. It leaves time for two report requests, so a single
/// unresponsive connection does not fail the round.
const FLOOR_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum interval between checks for expired waits.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// Background task that collects the reports of one group.
///
/// It resolves acknowledgements and floor rounds, and runs on the control thread.
#[derive(Debug)]
pub struct GroupWatch {
    group: GroupId,
    agent: AgentClient,
    clock: ProcessClock,
    commands: mpsc::UnboundedReceiver<GroupCommand>,
    snapshot: watch::Sender<GroupSnapshot>,
    demands: BTreeMap<TargetId, watch::Sender<WatchDemand>>,
    acks: AckTracker,
    ack_replies: BTreeMap<AckKey, oneshot::Sender<AckOutcome>>,
    floors: FloorTracker,
    floor_replies: BTreeMap<RoundNumber, Vec<oneshot::Sender<Option<LogPosition>>>>,
    pending_positions: BTreeMap<TargetId, Vec<(LogPosition, MonotonicTime)>>,
}

impl GroupWatch {
    /// Starts the watch of a group on the current runtime. It stops when the last
    /// handle is dropped.
    #[must_use]
    pub fn start(
        group: &GroupEntry,
        database: &str,
        ack_timeout: Duration,
        context: &EntryContext,
    ) -> GroupHandle {
        let clock = context.clock;
        let members = GroupMembers::new(group.targets.iter().map(|entry| entry.name.clone()));
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (snapshot, snapshot_receiver) = watch::channel(GroupSnapshot::new(members.clone()));
        let mut demands = BTreeMap::new();
        for entry in &group.targets {
            let (demand, demand_receiver) = watch::channel(WatchDemand::default());
            demands.insert(entry.name.clone(), demand);
            let watch = TargetWatch::new(
                entry,
                database,
                clock,
                demand_receiver,
                command_sender.downgrade(),
            );
            tokio::spawn(watch.run());
        }
        let watch = Self {
            group: group.name.clone(),
            agent: context.agent.clone(),
            clock,
            commands,
            snapshot,
            demands,
            acks: AckTracker::new(members.clone(), ack_timeout),
            ack_replies: BTreeMap::new(),
            floors: FloorTracker::new(members, FloorSettings::new().timeout(FLOOR_TIMEOUT)),
            floor_replies: BTreeMap::new(),
            pending_positions: BTreeMap::new(),
        };
        tokio::spawn(watch.run());
        GroupHandle::new(command_sender, snapshot_receiver)
    }

    async fn run(mut self) {
        loop {
            let delay = self.time_until_deadline();
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = sleep(delay) => {}
            }
            self.expire();
            self.update_demands();
        }
    }

    fn time_until_deadline(&self) -> Duration {
        let now = self.clock.now();
        let deadlines = [self.acks.next_deadline(), self.floors.next_deadline()];
        let next = deadlines.into_iter().flatten().min();
        next.map_or(IDLE_CHECK, |at| at.saturating_since(now).min(IDLE_CHECK))
    }

    fn handle(&mut self, command: GroupCommand) {
        let now = self.clock.now();
        match command {
            GroupCommand::Acknowledge {
                primary,
                position,
                reply,
            } => {
                let start = self.acks.begin(&primary, position, now);
                self.register_ack(start, reply);
            }
            GroupCommand::ConfirmRead { position, reply } => {
                let start = self.acks.begin_read(position, now);
                self.register_ack(start, reply);
            }
            GroupCommand::Floor { reply } => {
                let (round, action) = self.floors.join(now);
                self.floor_replies.entry(round).or_default().push(reply);
                self.perform(action);
            }
            GroupCommand::AwaitApplied {
                target,
                position,
                until,
            } => self
                .pending_positions
                .entry(target)
                .or_default()
                .push((position, until)),
            GroupCommand::Reported {
                target,
                requested_at,
                report,
            } => self.handle_report(target, requested_at, report, now),
        }
    }

    fn register_ack(&mut self, start: AckStatus, reply: oneshot::Sender<AckOutcome>) {
        match start {
            AckStatus::Resolved(outcome) => drop(reply.send(outcome)),
            AckStatus::Waiting(key) => drop(self.ack_replies.insert(key, reply)),
        }
    }

    fn handle_report(
        &mut self,
        target: TargetId,
        requested_at: MonotonicTime,
        report: Option<ServerReport>,
        now: MonotonicTime,
    ) {
        self.floors.set_unresponsive(&target, report.is_none());
        let Some(report) = report else {
            self.mark_unresponsive(target);
            return;
        };
        let acknowledged = self.acks.observe(&report);
        self.complete_acks(acknowledged);
        let actions = self.floors.observe(&report, requested_at, now);
        if let Some(waits) = self.pending_positions.get_mut(&target) {
            waits.retain(|(position, _)| report.applied < *position);
        }
        self.snapshot.send_modify(|snapshot| {
            snapshot.unresponsive.remove(&target);
            snapshot.view.observe(report, requested_at, now);
            if let Some((at, floor)) = snapshot.view.floor() {
                snapshot.history.record(at, floor);
            }
        });
        self.perform(actions);
    }

    /// Marks a target as unresponsive. Notifies the agent if it was responsive
    /// before.
    fn mark_unresponsive(&mut self, target: TargetId) {
        let name = target.clone();
        let is_new = self
            .snapshot
            .send_if_modified(|snapshot| snapshot.unresponsive.insert(target));
        if is_new {
            let (agent, group) = (self.agent.clone(), self.group.clone());
            tokio::spawn(async move { agent.report_unresponsive(group, name).await });
        }
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        let expired = self.acks.expire(now);
        self.complete_acks(expired);
        let actions = self.floors.expire(now);
        self.perform(actions);
        for waits in self.pending_positions.values_mut() {
            waits.retain(|(_, until)| *until > now);
        }
    }

    fn complete_acks(&mut self, resolved: Vec<(AckKey, AckOutcome)>) {
        for (key, outcome) in resolved {
            if let Some(reply) = self.ack_replies.remove(&key) {
                let _ = reply.send(outcome);
            }
        }
    }

    fn perform(&mut self, actions: impl IntoIterator<Item = FloorAction>) {
        for action in actions {
            match action {
                FloorAction::RequestReports(_) => self.request_reports(),
                FloorAction::Complete { round, floor } => self.complete_floor(round, Some(floor)),
                FloorAction::Fail(round) => self.complete_floor(round, None),
            }
        }
    }

    fn request_reports(&self) {
        for demand in self.demands.values() {
            demand.send_modify(|demand| demand.report_requests += 1);
        }
    }

    fn complete_floor(&mut self, round: RoundNumber, floor: Option<LogPosition>) {
        for reply in self.floor_replies.remove(&round).unwrap_or_default() {
            let _ = reply.send(floor);
        }
    }

    fn update_demands(&self) {
        for (target, demand) in &self.demands {
            let applied = self.pending_positions.get(target).into_iter().flatten();
            let applied = applied.map(|(position, _)| *position);
            let awaited_position = applied.chain(self.acks.next_awaited(target)).min();
            demand.send_if_modified(|demand| {
                let is_new = demand.awaited_position != awaited_position;
                demand.awaited_position = awaited_position;
                is_new
            });
        }
    }
}

impl GroupSnapshot {
    fn new(members: GroupMembers) -> Self {
        Self {
            view: mustardhinge_core::replication::GroupView::new(members),
            history: mustardhinge_core::replication::FloorHistory::new(),
            unresponsive: std::collections::BTreeSet::new(),
        }
    }
}
