use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::failover::{FailoverAction, FailoverEvent, FailoverMachine, FailoverPhase};
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::GroupMembers;
use mustardhinge_rpc::control::GroupState;
use mustardhinge_rpc::peer::PrimaryQuestion;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::failover_calls::FailoverCalls;
use super::failover_log::log_phase;
use super::target_probe::probe_target;
use super::watch_handle::WatchView;
use super::{GroupContext, SwitchoverCommand, SwitchoverError, WatchEvent, WatchHandle};
use crate::peer::query_watchers;
use crate::target::TargetClient;

/// Capacity of the event queue of a watch; probes block when it is full.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// Interval at which an idle watch advances its failover machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The other watchers are queried about the primary once it has been
/// unresponsive for this fraction (1/n) of the unresponsive limit.
const QUERY_DIVISOR: u32 = 2;
/// Interval between two queries about the primary.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for entries to receive a write hold and finish their writes in flight.
const DRAIN_WAIT: Duration = Duration::from_millis(30);

/// A switchover requested by an operator and still in progress.
struct PendingSwitchover {
    from_term: LeaderTerm,
    reply: oneshot::Sender<Result<(LeaderTerm, TargetId), SwitchoverError>>,
}

/// Monitors one database group and drives its failover machine.
pub(super) struct GroupWatch {
    calls: FailoverCalls,
    machine: FailoverMachine,
    events: mpsc::Receiver<WatchEvent>,
    sender: mpsc::Sender<WatchEvent>,
    view: watch::Sender<WatchView>,
    switchover: Option<PendingSwitchover>,
    last_queried_at: MonotonicTime,
    tasks: JoinSet<()>,
}

impl GroupWatch {
    /// Creates the watch of a group and starts probing its targets.
    pub(super) fn start(
        group: &GroupEntry,
        rank: u32,
        context: GroupContext,
    ) -> (Self, WatchHandle) {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let now = context.state.now();
        let members = GroupMembers::new(group.targets.iter().map(|target| target.name.clone()));
        let seed = rand::random();
        let mut machine = FailoverMachine::new(members, rank, context.settings, seed, now);
        machine.set_leaving(leaving_targets(group));
        let view = watch::Sender::new(WatchView {
            reports: machine.view().clone(),
            phase: machine.phase(),
        });
        let clients = Arc::new(make_clients(group));
        let handle = WatchHandle {
            events: sender.clone(),
            clients: clients.clone(),
            unresponsive_limit: context.settings.get_unresponsive_limit(),
            view: view.subscribe(),
        };
        let addresses = group.targets.iter();
        let addresses = addresses.map(|target| (target.name.clone(), target.address));
        let calls = FailoverCalls {
            group: group.name.clone(),
            context,
            clients,
            addresses: Arc::new(addresses.collect()),
        };
        let mut group_watch = Self {
            calls,
            machine,
            events,
            sender,
            view,
            switchover: None,
            last_queried_at: now,
            tasks: JoinSet::new(),
        };
        group_watch.start_probes();
        (group_watch, handle)
    }

    /// Handles events and ticks in a loop.
    pub(super) async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.advance(FailoverEvent::Tick);
                    self.query_primary_health();
                }
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    fn start_probes(&mut self) {
        let context = self.calls.context.clone();
        for (target, client) in self.calls.clients.iter() {
            self.tasks.spawn(probe_target(
                target.clone(),
                client.clone(),
                context.timing,
                context.state.clone(),
                self.sender.clone(),
            ));
        }
    }

    fn handle(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Failover(event) => self.advance(event),
            WatchEvent::Switchover(command) => self.start_switchover(command),
            WatchEvent::Rank(rank) => self.machine.set_rank(rank),
        }
    }

    fn advance(&mut self, event: FailoverEvent) {
        let before = self.machine.phase();
        let now = self.calls.context.state.now();
        let actions = self.machine.handle(event, now);
        for action in actions {
            self.execute(action, now);
        }
        self.publish_view(before);
        self.publish_primary();
        self.check_switchover_outcome();
    }

    /// Queries the other watchers about a primary that is unresponsive to this
    /// agent.
    fn query_primary_health(&mut self) {
        let now = self.calls.context.state.now();
        let view = self.machine.view();
        let Some(primary) = self.machine.primary().map(|report| report.target.clone()) else {
            return;
        };
        let query_after = self.calls.context.settings.get_unresponsive_limit() / QUERY_DIVISOR;
        let is_due = now.saturating_since(self.last_queried_at) >= QUERY_INTERVAL;
        if !is_due || !view.is_unresponsive(&primary, now, query_after) {
            return;
        }
        self.last_queried_at = now;
        let question = PrimaryQuestion {
            group: self.calls.group.clone(),
            target: primary,
        };
        query_watchers(&self.calls.context.state, &question, &self.sender);
    }

    fn start_switchover(&mut self, command: SwitchoverCommand) {
        self.send_switchover_outcome(Err(SwitchoverError::NotWatched));
        self.switchover = Some(PendingSwitchover {
            from_term: self.machine.view().greatest_term(),
            reply: command.reply,
        });
        self.advance(FailoverEvent::SwitchoverRequested {
            successor: command.successor,
        });
    }

    fn execute(&mut self, action: FailoverAction, now: MonotonicTime) {
        match action {
            FailoverAction::HoldWrites { until } => self.hold_writes(until, now),
            FailoverAction::ReleaseWrites => self.set_hold(None),
            FailoverAction::RefuseSwitchover(refusal) => {
                self.send_switchover_outcome(Err(SwitchoverError::Refused(refusal)));
            }
            action => self.spawn_call(action),
        }
    }

    fn spawn_call(&mut self, action: FailoverAction) {
        let (calls, sender) = (self.calls.clone(), self.sender.clone());
        self.tasks.spawn(async move {
            if let Some(event) = calls.run(action).await {
                let _ = sender.send(WatchEvent::Failover(event)).await;
            }
        });
    }

    fn hold_writes(&mut self, until: MonotonicTime, now: MonotonicTime) {
        self.set_hold(Some(until));
        let sender = self.sender.clone();
        let wait = DRAIN_WAIT.min(until.saturating_since(now));
        self.tasks.spawn(async move {
            tokio::time::sleep(wait).await;
            let drained = WatchEvent::Failover(FailoverEvent::WritesDrained);
            let _ = sender.send(drained).await;
        });
    }

    fn set_hold(&self, until: Option<MonotonicTime>) {
        let state = &self.calls.context.state;
        state.hold_writes(&self.calls.group, until);
    }

    /// Publishes the state of the watch and logs a change of phase.
    fn publish_view(&self, before: FailoverPhase) {
        let phase = self.machine.phase();
        self.view.send_replace(WatchView {
            reports: self.machine.view().clone(),
            phase,
        });
        if phase != before {
            log_phase(&self.calls.group, &self.machine);
        }
    }

    /// Publishes the primary to the entry and the peers immediately.
    fn publish_primary(&self) {
        let Some(primary) = self.machine.primary() else {
            return;
        };
        self.calls.context.state.apply_group(GroupState {
            group: self.calls.group.clone(),
            term: primary.term,
            primary: Some(primary.target.clone()),
            writes_held_ms: 0,
        });
    }

    fn check_switchover_outcome(&mut self) {
        let Some(switchover) = &self.switchover else {
            return;
        };
        let from_term = switchover.from_term;
        let primary = self.machine.primary();
        if let Some(primary) = primary.filter(|primary| primary.term > from_term) {
            let outcome = (primary.term, primary.target.clone());
            self.send_switchover_outcome(Ok(outcome));
        }
    }

    fn send_switchover_outcome(
        &mut self,
        outcome: Result<(LeaderTerm, TargetId), SwitchoverError>,
    ) {
        if let Some(switchover) = self.switchover.take() {
            let _ = switchover.reply.send(outcome);
        }
    }
}

/// Returns the targets that operators have marked as leaving, which receive no
/// new work.
fn leaving_targets(group: &GroupEntry) -> impl Iterator<Item = TargetId> {
    let leaving = group.targets.iter().filter(|target| target.leaving);
    leaving.map(|target| target.name.clone())
}

fn make_clients(group: &GroupEntry) -> BTreeMap<TargetId, Arc<TargetClient>> {
    let clients = group.targets.iter().map(|target| {
        let client = Arc::new(TargetClient::new(target.address));
        (target.name.clone(), client)
    });
    clients.collect()
}
