//! Events of entries and their messages to ledgers.

use mustardhinge_core::budget::{LedgerError, LedgerRequest, LedgerResponse};
use rand::RngExt;

use super::super::event::{AccountId, Event, ProcessIncarnation};
use super::{ENTRY_PERIOD, LEDGER_REQUEST_TIMEOUT, MILLI, World, customer_id, instance_id};

impl World {
    /// Returns the arrival times of a message, which may be lost or duplicated.
    pub(super) fn arrivals(
        &mut self,
        time: u64,
        from: Option<usize>,
        to: Option<usize>,
    ) -> Vec<u64> {
        let is_partitioned = from != to
            && self
                .partitioned_zone
                .is_some_and(|partitioned| from == Some(partitioned) || to == Some(partitioned));
        let faults = self.plan.faults;
        if is_partitioned || self.random.random_range(0..1_000) < faults.loss {
            return Vec::new();
        }
        let (near, far) = self.plan.delays;
        let base = if from == to { near } else { far };
        let copies = 1 + u32::from(self.random.random_range(0..1_000) < faults.duplication);
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            let is_late = self.random.random_range(0..1_000) < faults.delay;
            let late = if is_late {
                self.random.random_range(0..2_000 * MILLI)
            } else {
                0
            };
            arrivals.push(time + base + self.random.random_range(0..base / 4) + late);
        }
        arrivals
    }

    pub(super) fn is_entry(&self, process: ProcessIncarnation) -> bool {
        self.entries[process.index].incarnation == process.incarnation
    }

    pub(super) fn on_request(&mut self, time: u64, entry: usize, customer: usize) {
        self.entries[entry].on_request(customer, time, &mut self.histories[customer]);
        self.retry_and_send(time, entry, customer);
    }

    pub(super) fn on_entry_tick(
        &mut self,
        time: u64,
        process: ProcessIncarnation,
        customer: usize,
    ) {
        if !self.is_entry(process) {
            return;
        }
        self.retry_and_send(time, process.index, customer);
        let entry = process;
        self.schedule(time + ENTRY_PERIOD, Event::EntryTick { entry, customer });
    }

    /// Retries waiting requests, and sends the next request to a ledger.
    pub(super) fn retry_and_send(&mut self, time: u64, index: usize, customer: usize) {
        let history = &mut self.histories[customer];
        self.entries[index].retry_waiting(customer, time, history);
        let Some((zone, request)) = self.entries[index].next_request(customer, time) else {
            return;
        };
        let account = AccountId {
            entry: self.entry_incarnation(index),
            customer,
            zone: self.zones.iter().position(|other| *other == zone).unwrap(),
        };
        let sequence = request.sequence;
        self.schedule(
            time + LEDGER_REQUEST_TIMEOUT,
            Event::LedgerRequestTimeout { account, sequence },
        );
        self.send_ledger_request(time, account, &request);
    }

    pub(super) fn send_ledger_request(
        &mut self,
        time: u64,
        account: AccountId,
        request: &LedgerRequest,
    ) {
        self.ledger_requests += 1;
        let Some(agent) = self.choose_agent(account.zone) else {
            return;
        };
        let own_zone = self.entries[account.entry.index].zone;
        for arrival in self.arrivals(time, Some(own_zone), Some(account.zone)) {
            let request = request.clone();
            self.schedule(
                arrival,
                Event::LedgerRequest {
                    account,
                    agent,
                    request,
                },
            );
        }
    }

    pub(super) fn choose_agent(&mut self, zone: usize) -> Option<usize> {
        if self.plan.faults.misdirected_requests && self.random.random_bool(0.3) {
            let ranks = self.agents.len() / self.plan.zones;
            return Some(zone + self.plan.zones * self.random.random_range(0..ranks));
        }
        let holder = self.store.holder(zone)?;
        (0..self.agents.len()).find(|index| instance_id(*index) == *holder)
    }

    pub(super) fn on_ledger_request(
        &mut self,
        time: u64,
        account: AccountId,
        agent: usize,
        request: &LedgerRequest,
    ) {
        let now = self.agent_clock(agent, time);
        let zone = self.agents[agent].zone;
        let sequence = request.sequence;
        let customer = customer_id(account.customer);
        let result = self.agents[agent].handle_request(&customer, request, now);
        let to = self.entries[account.entry.index].zone;
        for arrival in self.arrivals(time, Some(zone), Some(to)) {
            let event = Event::LedgerResponse {
                account,
                sequence,
                result,
            };
            self.schedule(arrival, event);
        }
    }

    pub(super) fn on_response(
        &mut self,
        time: u64,
        account: AccountId,
        sequence: u64,
        result: Result<LedgerResponse, LedgerError>,
    ) {
        if !self.is_entry(account.entry) {
            return;
        }
        let AccountId {
            entry,
            customer,
            zone,
        } = account;
        let name = self.zones[zone].clone();
        match result {
            Ok(response) => self.entries[entry.index].on_response(customer, &name, &response, time),
            Err(_) => self.entries[entry.index].on_failure(customer, &name, sequence, time),
        }
        self.retry_and_send(time, entry.index, customer);
    }
}
