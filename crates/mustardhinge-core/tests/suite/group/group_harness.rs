use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::failover::{
    ClaimOutcome, FailoverAction, FailoverEvent, FailoverMachine, FailoverSettings,
};
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::ServerReport;

use super::model_group::{index_of, target};
use super::{InjectedFault, InstanceModel, InvariantChecker, ModelGroup, ScheduleStep};

/// The interval between two ticks of an agent.
const TICK: Duration = Duration::from_millis(20);

/// A message that may be delayed, dropped or duplicated.
#[derive(Clone, Debug)]
enum Message {
    Call(usize, u64, FailoverAction),
    Answer(u64, FailoverEvent),
    Report(ServerReport, MonotonicTime),
}

#[derive(Clone, Debug)]
struct Agent {
    machine: FailoverMachine,
    claimant: u64,
    paused_until: MonotonicTime,
    links: Vec<bool>,
}

/// A model group, two agents and an instance's trackers, with all invariants
/// checked at each step.
pub(crate) struct GroupHarness {
    pub(crate) group: ModelGroup,
    pub(crate) now: MonotonicTime,
    fault: InjectedFault,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    is_store_up: bool,
    claimed: LeaderTerm,
    next_claimant: u64,
    grants: BTreeMap<(u64, LeaderTerm), Vec<ServerReport>>,
    instance: InstanceModel,
    checker: InvariantChecker,
}

impl GroupHarness {
    pub(crate) fn new(servers: usize, fault: InjectedFault) -> Self {
        let group = ModelGroup::new(servers);
        let members = group.members();
        let now = MonotonicTime::from_millis(1_000);
        let mut harness = Self {
            now,
            fault,
            agents: Vec::new(),
            messages: Vec::new(),
            is_store_up: true,
            claimed: LeaderTerm::new(1),
            next_claimant: 0,
            grants: BTreeMap::new(),
            instance: InstanceModel::new(members, fault),
            checker: InvariantChecker::default(),
            group,
        };
        harness.agents = (0..2).map(|rank| harness.new_agent(rank)).collect();
        harness
    }

    /// Runs a schedule and ends all faults; returns the numbers of acknowledged
    /// writes and promotions, or all violations.
    pub(crate) fn run(mut self, steps: &[ScheduleStep]) -> Result<(usize, usize), Vec<String>> {
        self.advance(60, true);
        for step in steps {
            self.step(step);
        }
        self.heal();
        self.checker.finish()
    }

    pub(crate) fn step(&mut self, step: &ScheduleStep) {
        let servers = self.group.servers.len();
        match *step {
            ScheduleStep::Write { server } => self.write(server % servers),
            ScheduleStep::Replicate { server, count } => {
                self.group.replicate(server % servers, count);
            }
            ScheduleStep::ReportToTrackers { server } => self.report(server % servers),
            ScheduleStep::JoinFloor => {
                // Reports requested before the join must have an earlier request time.
                self.now = self.now + Duration::from_micros(1);
                self.instance
                    .join_floor(self.now, &self.group, &mut self.checker);
            }
            ScheduleStep::Deliver { index, duplicate } => self.deliver(index, duplicate),
            ScheduleStep::Drop { index } => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
            ScheduleStep::Advance { millis, deliver } => self.advance(millis, deliver),
            ScheduleStep::PauseAgent { agent, millis } => {
                self.agents[agent].paused_until = self.now + Duration::from_millis(millis);
            }
            ScheduleStep::RestartAgent { agent, rank } => {
                self.agents[agent] = self.new_agent(rank);
            }
            ScheduleStep::Leave { agent, server } => {
                let leaving = [target(server % servers)];
                self.agents[agent].machine.set_leaving(leaving);
            }
            ScheduleStep::ToggleServer { server } => {
                let server = &mut self.group.servers[server % servers];
                server.is_up = !server.is_up;
            }
            ScheduleStep::ToggleLink { agent, server } => {
                let link = &mut self.agents[agent].links[server % servers];
                *link = !*link;
            }
            ScheduleStep::ToggleStore => self.is_store_up = !self.is_store_up,
            ScheduleStep::Switchover { agent } => {
                let successor = None;
                self.handle_event(agent, FailoverEvent::SwitchoverRequested { successor });
            }
        }
    }

    /// Ends all faults and checks that the group acknowledges writes again.
    fn heal(&mut self) {
        self.is_store_up = true;
        self.messages.clear();
        for server in &mut self.group.servers {
            server.is_up = true;
        }
        for agent in &mut self.agents {
            agent.links.fill(true);
            agent.paused_until = self.now;
        }
        self.advance(4_000, true);
        let acked = self.checker.acked();
        for server in 0..self.group.servers.len() {
            self.write(server);
        }
        self.advance(1_000, true);
        if self.checker.acked() == acked {
            let servers = 0..self.group.servers.len();
            let reports: Vec<_> = servers.map(|server| self.group.report(server)).collect();
            let message = format!("no write is acknowledged after the faults: {reports:#?}");
            self.checker.record_violation(message);
        }
    }

    fn new_agent(&mut self, rank: usize) -> Agent {
        self.next_claimant += 1;
        let rank = u32::try_from(rank).unwrap();
        let members = self.group.members();
        let settings = FailoverSettings::new();
        let seed = self.next_claimant;
        Agent {
            machine: FailoverMachine::new(members, rank, settings, seed, self.now),
            claimant: self.next_claimant,
            paused_until: self.now,
            links: vec![true; self.group.servers.len()],
        }
    }

    /// Returns the claimant name that an agent uses with the servers.
    fn claimant_name(&self, claimant: u64) -> u64 {
        if self.fault == InjectedFault::SharedClaimant {
            return 0;
        }
        claimant
    }

    pub(crate) fn advance(&mut self, millis: u64, deliver: bool) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + TICK;
            for agent in 0..self.agents.len() {
                self.probe(agent);
                self.handle_event(agent, FailoverEvent::Tick);
            }
            let mut rounds = if deliver { 8 } else { 0 };
            while rounds > 0 && !self.messages.is_empty() {
                rounds -= 1;
                for message in std::mem::take(&mut self.messages) {
                    self.handle(message);
                }
            }
            if deliver {
                self.replicate_and_report();
            }
            self.instance
                .expire(self.now, &self.group, &mut self.checker);
        }
    }

    /// Replicates all entries and sends a report of each server to the instance.
    fn replicate_and_report(&mut self) {
        for server in 0..self.group.servers.len() {
            self.group.replicate(server, usize::MAX);
            self.report(server);
        }
    }

    fn probe(&mut self, agent: usize) {
        for server in 0..self.group.servers.len() {
            if self.agents[agent].links[server] && self.group.servers[server].is_up {
                let event = FailoverEvent::Reported {
                    report: self.group.report(server),
                    requested_at: self.now,
                };
                self.handle_event(agent, event);
            }
        }
    }

    fn handle_event(&mut self, agent: usize, event: FailoverEvent) {
        if self.now < self.agents[agent].paused_until {
            return;
        }
        let claimant = self.agents[agent].claimant;
        if let FailoverEvent::FenceResponse {
            term,
            report,
            granted: true,
        } = &event
        {
            self.record_grant(agent, *term, report.clone());
        }
        let actions = self.agents[agent].machine.handle(event, self.now);
        for action in actions {
            match action {
                FailoverAction::HoldWrites { .. } => {
                    let event = FailoverEvent::WritesDrained;
                    self.messages.push(Message::Answer(claimant, event));
                }
                action => self.messages.push(Message::Call(agent, claimant, action)),
            }
        }
    }

    fn record_grant(&mut self, agent: usize, term: LeaderTerm, report: ServerReport) {
        let claimant = self.agents[agent].claimant;
        let grants = self.grants.entry((claimant, term)).or_default();
        let is_first = grants.is_empty();
        grants.push(report.clone());
        if self.fault == InjectedFault::PromoteOnOneGrant && is_first {
            let target = report.target;
            let call = FailoverAction::Promote { target, term };
            self.messages.push(Message::Call(agent, claimant, call));
        }
    }

    fn deliver(&mut self, index: usize, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let message = if duplicate {
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        self.handle(message);
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Call(agent, claimant, action) => self.call(agent, claimant, action),
            Message::Answer(claimant, event) => {
                let is_receiver = |agent: &Agent| agent.claimant == claimant;
                if let Some(agent) = self.agents.iter().position(is_receiver) {
                    self.handle_event(agent, event);
                }
            }
            Message::Report(report, requested_at) => {
                let times = (requested_at, self.now);
                self.instance
                    .handle_report(report, times, &self.group, &mut self.checker);
            }
        }
    }

    fn call(&mut self, agent: usize, claimant: u64, action: FailoverAction) {
        let name = self.claimant_name(claimant);
        let event = match action {
            FailoverAction::Claim { term } if self.is_store_up => {
                let is_won = term > self.claimed;
                self.claimed = self.claimed.max(term);
                let lost = ClaimOutcome::Lost { term: self.claimed };
                let outcome = if is_won { ClaimOutcome::Won } else { lost };
                FailoverEvent::ClaimResponse { term, outcome }
            }
            FailoverAction::Publish { term, .. } if self.is_store_up => {
                let is_published = true;
                FailoverEvent::PublishResponse { term, is_published }
            }
            FailoverAction::RequestReport { target } if self.is_reachable(agent, &target) => {
                FailoverEvent::Reported {
                    report: self.group.report(index_of(&target)),
                    requested_at: self.now,
                }
            }
            FailoverAction::Fence { target, term } if self.is_reachable(agent, &target) => {
                let granted = self.group.fence(index_of(&target), term, name);
                let report = self.group.report(index_of(&target));
                FailoverEvent::FenceResponse {
                    term,
                    report,
                    granted,
                }
            }
            FailoverAction::Promote { target, term } if self.is_reachable(agent, &target) => {
                let server = self.promotion_target(claimant, term, index_of(&target));
                let (granted, is_new) = self.group.promote(server, term, name);
                if is_new {
                    let log = self.group.servers[server].log.clone();
                    self.checker.check_promotion(server, term, log);
                }
                let report = self.group.report(server);
                FailoverEvent::PromoteResponse {
                    term,
                    report,
                    granted,
                }
            }
            FailoverAction::Follow {
                target,
                term,
                primary,
            } if self.is_reachable(agent, &target) => {
                self.group
                    .follow(index_of(&target), term, index_of(&primary));
                return;
            }
            _ => return,
        };
        self.messages.push(Message::Answer(claimant, event));
    }

    fn is_reachable(&self, agent: usize, target: &TargetId) -> bool {
        let server = index_of(target);
        self.agents[agent].links[server] && self.group.servers[server].is_up
    }

    /// Returns the server to promote, which an injected fault may change.
    fn promotion_target(&self, claimant: u64, term: LeaderTerm, server: usize) -> usize {
        let grants = self.grants.get(&(claimant, term));
        match grants {
            Some(grants) if self.fault == InjectedFault::ChooseByOffset => {
                let best = grants.iter().max_by_key(|report| report.last.offset);
                best.map_or(server, |report| index_of(&report.target))
            }
            _ => server,
        }
    }

    fn write(&mut self, server: usize) {
        if let Some(write) = self.group.write(server) {
            self.instance
                .write(server, write, self.now, &mut self.checker);
        }
    }

    fn report(&mut self, server: usize) {
        if self.group.servers[server].is_up {
            let report = self.group.report(server);
            self.messages.push(Message::Report(report, self.now));
        }
    }
}
