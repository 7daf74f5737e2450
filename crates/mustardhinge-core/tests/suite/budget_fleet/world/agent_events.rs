//! Events of agents and the store.

use mustardhinge_core::prelude::*;

use super::super::event::{Event, ProcessIncarnation, StoreCall};
use super::{AGENT_PERIOD, World};

impl World {
    pub(super) fn is_agent(&self, process: ProcessIncarnation) -> bool {
        self.agents[process.index].incarnation == process.incarnation
    }

    pub(super) fn agent_clock(&self, index: usize, time: u64) -> MonotonicTime {
        self.agents[index].clock.read(time)
    }

    pub(super) fn on_agent_tick(&mut self, time: u64, process: ProcessIncarnation) {
        if !self.is_agent(process) {
            return;
        }
        self.check_leases(time);
        let now = self.agent_clock(process.index, time);
        let rank = u32::try_from(process.index / self.plan.zones).unwrap();
        let zone = self.agents[process.index].zone;
        for call in self.agents[process.index].tick(rank, now) {
            for arrival in self.arrivals(time, Some(zone), None) {
                self.schedule(arrival, Event::StoreCall(process, call.clone()));
            }
        }
        self.schedule(time + AGENT_PERIOD, Event::AgentTick(process));
    }

    /// Records whether two agents of a zone hold the same part of its share.
    pub(super) fn check_leases(&mut self, time: u64) {
        let validities = (0..self.agents.len()).filter_map(|index| {
            let now = self.agent_clock(index, time);
            let agent = &self.agents[index];
            Some((agent.zone, now, agent.validity(now)?))
        });
        let validities: Vec<_> = validities.collect();
        for zone in 0..self.plan.zones {
            let of_zone = validities.iter().filter(|(other, ..)| *other == zone);
            let flexible = of_zone
                .clone()
                .filter(|(_, now, s)| *now < s.flexible_until);
            let floor = of_zone.filter(|(_, now, s)| s.floor_until.is_some_and(|end| *now < end));
            if flexible.count() > 1 || floor.count() > 1 {
                self.overlap = self.overlap.or(Some(time));
            }
        }
    }

    pub(super) fn on_store_call(
        &mut self,
        time: u64,
        process: ProcessIncarnation,
        call: StoreCall,
    ) {
        if !self.store.is_up {
            return;
        }
        let zone = self.agents[process.index].zone;
        let response = self.store.apply(zone, call);
        for arrival in self.arrivals(time, None, Some(zone)) {
            self.schedule(arrival, Event::StoreResponse(process, response.clone()));
        }
    }
}
