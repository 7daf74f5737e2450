//! Events of faults and changes of limits.

use rand::RngExt;

use super::super::event::{Event, ProcessIncarnation};
use super::{MILLI, World};

impl World {
    pub(super) fn schedule_fault(&mut self, time: u64, mean_ms: u64, event: Event) {
        if mean_ms > 0 {
            let wait = self.random.random_range(1..2 * mean_ms * MILLI);
            self.schedule(time + wait, event);
        }
    }

    pub(super) fn on_fault(&mut self, time: u64, fault: &Event) {
        match *fault {
            Event::Pause => {
                self.pause_one(time);
                self.schedule_fault(time, self.plan.faults.pause_ms, Event::Pause);
            }
            Event::Crash => {
                let index = self.random.random_range(0..self.entries.len());
                let kill = if self.random.random_bool(0.5) {
                    Event::KillAgent(index)
                } else {
                    Event::KillEntry(index)
                };
                self.on_fault(time, &kill);
                self.schedule_fault(time, self.plan.faults.crash_ms, Event::Crash);
            }
            Event::KillAgent(index) => {
                self.agents[index] = self.make_agent(index);
                let process = self.agent_incarnation(index);
                self.schedule(time, Event::AgentTick(process));
                self.record_settled(time);
            }
            Event::KillEntry(index) => self.kill_entry(time, index),
            Event::Leave => {
                let index = self.random.random_range(0..self.agents.len());
                self.schedule(time, Event::LeaveAgent(index));
                self.schedule(time + 3_000 * MILLI, Event::KillAgent(index));
                self.schedule_fault(time, self.plan.faults.leave_ms, Event::Leave);
            }
            Event::LeaveAgent(index) => self.agents[index].leave(),
            Event::OutageStart => {
                self.store.is_up = false;
                let outage = self.random.random_range(0..8_000 * MILLI);
                self.schedule(time + outage, Event::StoreUp(true));
                self.schedule_fault(
                    time + outage,
                    self.plan.faults.outage_ms,
                    Event::OutageStart,
                );
            }
            Event::PartitionStart => {
                let zone = self.random.random_range(0..self.plan.zones);
                let length = self.random.random_range(0..6_000 * MILLI);
                self.partitioned_zone = Some(zone);
                self.schedule(time + length, Event::PartitionZone(None));
                self.schedule_fault(
                    time + length,
                    self.plan.faults.partition_ms,
                    Event::PartitionStart,
                );
            }
            Event::StoreUp(is_up) => self.store.is_up = is_up,
            Event::PartitionZone(zone) => self.partitioned_zone = zone,
            Event::Change => self.change_limits(time),
            _ => {}
        }
    }

    pub(super) fn kill_entry(&mut self, time: u64, index: usize) {
        self.entries[index] = self.make_entry(index);
        let entry = self.entry_incarnation(index);
        for customer in 0..self.histories.len() {
            self.schedule(time, Event::EntryTick { entry, customer });
        }
    }

    pub(super) fn pause_one(&mut self, time: u64) {
        let index = self.random.random_range(0..self.entries.len());
        let length = self.random.random_range(0..4_000 * MILLI);
        if self.random.random_bool(0.5) {
            self.agents[index].paused_until = time + length;
            self.agents[index].total_pause += length;
        } else {
            self.entries[index].paused_until = time + length;
        }
    }

    pub(super) fn change_limits(&mut self, time: u64) {
        if self.revision + 1 < self.plan.limits.len() {
            self.revision += 1;
            self.changed.push(time);
            for index in 0..self.agents.len() {
                let agent = self.agent_incarnation(index);
                let delay = self.random.random_range(0..1_500 * MILLI);
                let revision = self.revision;
                self.schedule(time + delay, Event::Adopt { agent, revision });
            }
        }
        self.schedule_fault(time, self.plan.faults.change_ms, Event::Change);
    }

    pub(super) fn on_adopt(&mut self, time: u64, process: ProcessIncarnation, revision: usize) {
        let now = self.agent_clock(process.index, time);
        let limits = self.core_limits(revision);
        let agent = &mut self.agents[process.index];
        if agent.incarnation == process.incarnation && agent.adopted < revision {
            agent.adopted = revision;
            agent.ledger_mut().set_limits(limits, now);
            self.record_settled(time);
        }
    }

    pub(super) fn record_settled(&mut self, time: u64) {
        let is_settled = self
            .agents
            .iter()
            .all(|agent| agent.adopted == self.revision);
        let is_new = self
            .settled
            .last()
            .is_none_or(|(_, revision)| *revision != self.revision);
        if is_settled && is_new {
            self.settled.push((time, self.revision));
        }
    }

    /// Returns the end of the pause of the process that receives an event.
    pub(super) fn paused_until(&self, time: u64, event: &Event) -> Option<u64> {
        let until = match event {
            Event::AgentTick(process)
            | Event::StoreResponse(process, _)
            | Event::Adopt { agent: process, .. } => self.agents[process.index].paused_until,
            Event::LedgerRequest { agent, .. } => self.agents[*agent].paused_until,
            Event::Request { entry, .. } => self.entries[*entry].paused_until,
            Event::EntryTick { entry, .. } => self.entries[entry.index].paused_until,
            Event::LedgerResponse { account, .. } | Event::LedgerRequestTimeout { account, .. } => {
                self.entries[account.entry.index].paused_until
            }
            _ => 0,
        };
        (until > time).then_some(until)
    }
}
