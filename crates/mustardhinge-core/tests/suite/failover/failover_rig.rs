use std::time::Duration;

use mustardhinge_core::failover::{
    ClaimOutcome, FailoverAction, FailoverEvent, FailoverMachine, FailoverSettings,
};
use mustardhinge_core::prelude::*;

use crate::group::{ModelGroup, index_of, target};

/// The round-trip time of a call.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// The interval between probes of each server, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 20;
/// The claimant name that the machine's agent uses with the servers.
const CLAIMANT: u64 = 1;

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreState {
    Up,
    Silent,
    Lost,
}

/// A failover machine and a model group that responds to its calls after a
/// round trip.
pub(crate) struct FailoverRig {
    pub(crate) group: ModelGroup,
    pub(crate) machine: FailoverMachine,
    pub(crate) now: MonotonicTime,
    pub(crate) store: StoreState,
    pub(crate) refusing: Vec<usize>,
    pub(crate) declining: Vec<usize>,
    pub(crate) is_replicating: bool,
    pub(crate) is_dropping_responses: bool,
    pub(crate) can_drain: bool,
    pub(crate) actions: Vec<(MonotonicTime, FailoverAction)>,
    pending: Vec<(MonotonicTime, FailoverEvent)>,
}

impl FailoverRig {
    /// Creates a rig whose machine has watched the group for 1 s.
    pub(crate) fn new(servers: usize, rank: u32) -> Self {
        let group = ModelGroup::new(servers);
        let now = MonotonicTime::from_millis(1_000);
        let settings = FailoverSettings::new();
        let machine = FailoverMachine::new(group.members(), rank, settings, 7, now);
        let mut rig = Self {
            group,
            machine,
            now,
            store: StoreState::Up,
            refusing: Vec::new(),
            declining: Vec::new(),
            is_replicating: true,
            is_dropping_responses: false,
            can_drain: true,
            actions: Vec::new(),
            pending: Vec::new(),
        };
        rig.run(1_000);
        rig.actions.clear();
        rig
    }

    /// Advances the time in steps of 1 ms.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    /// Advances the time until the machine requests a matching action; returns
    /// the elapsed milliseconds.
    pub(crate) fn run_until(&mut self, matches: impl Fn(&FailoverAction) -> bool) -> u64 {
        for waited in 0..10_000 {
            if self.actions.iter().any(|(_, action)| matches(action)) {
                return waited;
            }
            self.step();
        }
        panic!("no matching action within 10 s: {:?}", self.actions);
    }

    /// Stops a server; its host refuses connections.
    pub(crate) fn kill(&mut self, server: usize) {
        self.group.servers[server].is_up = false;
        self.refusing.push(server);
    }

    /// Stops a server; it does not respond to calls.
    pub(crate) fn freeze(&mut self, server: usize) {
        self.group.servers[server].is_up = false;
    }

    /// Makes a server reject new connections with an error.
    pub(crate) fn decline(&mut self, server: usize) {
        self.group.servers[server].is_up = false;
        self.declining.push(server);
    }

    /// Replaces the machine with a new one that has received no reports.
    pub(crate) fn restart_machine(&mut self) {
        let members = self.group.members();
        self.machine = FailoverMachine::new(members, 0, FailoverSettings::new(), 7, self.now);
        self.pending.clear();
        self.actions.clear();
    }

    pub(crate) fn recover(&mut self, server: usize) {
        self.group.servers[server].is_up = true;
        self.refusing.retain(|refusing| *refusing != server);
    }

    pub(crate) fn handle_event(&mut self, event: FailoverEvent) {
        for action in self.machine.handle(event, self.now) {
            self.actions.push((self.now, action.clone()));
            let response = self.call(action);
            let response = response.filter(|_| !self.is_dropping_responses);
            let due = self.now + ROUND_TRIP;
            self.pending.extend(response.map(|event| (due, event)));
        }
    }

    /// Returns how many matching actions the machine has requested.
    pub(crate) fn count(&self, matches: impl Fn(&FailoverAction) -> bool) -> usize {
        let actions = self.actions.iter().map(|(_, action)| action);
        actions.filter(|action| matches(action)).count()
    }

    /// Returns the servers that the machine has promoted.
    pub(crate) fn promoted(&self) -> Vec<usize> {
        let promoted = self.actions.iter().filter_map(|(_, action)| match action {
            FailoverAction::Promote { target, .. } => Some(index_of(target)),
            _ => None,
        });
        promoted.collect()
    }

    pub(crate) fn has_requested(&self, matches: impl Fn(&FailoverAction) -> bool) -> bool {
        self.actions.iter().any(|(_, action)| matches(action))
    }

    /// Advances the time without events, as if the process was paused.
    pub(crate) fn pause(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Drops all responses that are in flight.
    pub(crate) fn drop_responses(&mut self) {
        self.pending.clear();
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        let now = self.now;
        let is_due = |(due, _): &(MonotonicTime, FailoverEvent)| *due <= now;
        let due: Vec<_> = self.pending.extract_if(.., |entry| is_due(entry)).collect();
        for (_, event) in due {
            self.handle_event(event);
        }
        if self.is_replicating {
            for server in 0..self.group.servers.len() {
                self.group.replicate(server, usize::MAX);
            }
        }
        if now.as_micros().is_multiple_of(PROBE_INTERVAL_MS * 1_000) {
            self.probe();
        }
        self.handle_event(FailoverEvent::Tick);
    }

    fn probe(&mut self) {
        for server in 0..self.group.servers.len() {
            let target = target(server);
            if self.group.servers[server].is_up {
                let report = self.group.report(server);
                let requested_at = self.now;
                self.handle_event(FailoverEvent::Reported {
                    report,
                    requested_at,
                });
            } else if self.refusing.contains(&server) {
                self.handle_event(FailoverEvent::ConnectionRefused { target });
            } else if self.declining.contains(&server) {
                self.handle_event(FailoverEvent::ConnectionDeclined { target });
            }
        }
    }

    fn call(&mut self, action: FailoverAction) -> Option<FailoverEvent> {
        match action {
            FailoverAction::Claim { term } => self.claim(term),
            FailoverAction::Publish { term, .. } => {
                let is_published = true;
                let event = FailoverEvent::PublishResponse { term, is_published };
                (self.store == StoreState::Up).then_some(event)
            }
            FailoverAction::HoldWrites { .. } => {
                self.can_drain.then_some(FailoverEvent::WritesDrained)
            }
            FailoverAction::RequestReport { target } => {
                let server = self.reachable_index(&target)?;
                let report = self.group.report(server);
                let requested_at = self.now;
                Some(FailoverEvent::Reported {
                    report,
                    requested_at,
                })
            }
            FailoverAction::Fence { target, term } => {
                let server = self.reachable_index(&target)?;
                let granted = self.group.fence(server, term, CLAIMANT);
                let report = self.group.report(server);
                Some(FailoverEvent::FenceResponse {
                    term,
                    report,
                    granted,
                })
            }
            FailoverAction::Promote { target, term } => {
                let server = self.reachable_index(&target)?;
                let (granted, _) = self.group.promote(server, term, CLAIMANT);
                let report = self.group.report(server);
                Some(FailoverEvent::PromoteResponse {
                    term,
                    report,
                    granted,
                })
            }
            FailoverAction::Follow {
                target,
                term,
                primary,
            } => {
                let server = self.reachable_index(&target)?;
                self.group.follow(server, term, index_of(&primary));
                None
            }
            FailoverAction::ReleaseWrites | FailoverAction::RefuseSwitchover(_) => None,
        }
    }

    fn claim(&self, term: LeaderTerm) -> Option<FailoverEvent> {
        let outcome = match self.store {
            StoreState::Up => ClaimOutcome::Won,
            StoreState::Silent => return None,
            StoreState::Lost => ClaimOutcome::Lost {
                term: LeaderTerm::new(term.get() + 5),
            },
        };
        Some(FailoverEvent::ClaimResponse { term, outcome })
    }

    fn reachable_index(&self, target: &TargetId) -> Option<usize> {
        let server = index_of(target);
        self.group.servers[server].is_up.then_some(server)
    }
}

pub(crate) fn is_claim(action: &FailoverAction) -> bool {
    matches!(action, FailoverAction::Claim { .. })
}

pub(crate) fn is_promote(action: &FailoverAction) -> bool {
    matches!(action, FailoverAction::Promote { .. })
}

pub(crate) fn is_publish(action: &FailoverAction) -> bool {
    matches!(action, FailoverAction::Publish { .. })
}
