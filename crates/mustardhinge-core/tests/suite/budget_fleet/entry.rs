//! A simulated entry, which admits requests from its allowances.

use mustardhinge_core::budget::{
    Admission, ClientId, EntryAllowance, LedgerRequest, LedgerResponse,
};
use mustardhinge_core::prelude::*;

use super::customer_side::CustomerSide;
use super::history::AdmissionHistory;
use super::skewed_clock::SkewedClock;

/// The longest wait of a request for budget, in microseconds.
const MAX_WAIT: u64 = 400_000;

pub(super) struct Entry {
    pub(super) zone: usize,
    pub(super) incarnation: u64,
    pub(super) clock: SkewedClock,
    pub(super) paused_until: u64,
    sides: Vec<CustomerSide>,
}

impl Entry {
    pub(super) fn new(zone: usize, client: &ClientId, zones: &[ZoneId], customers: usize) -> Self {
        let others = |own: usize| {
            let (before, after) = zones.split_at(own);
            after[1..].iter().chain(before).cloned().collect::<Vec<_>>()
        };
        let side = |_| CustomerSide {
            allowance: EntryAllowance::new(
                client.clone(),
                zones[zone].clone(),
                others(zone),
                MonotonicTime::default(),
            ),
            waiting: Default::default(),
        };
        Self {
            zone,
            incarnation: client.incarnation,
            clock: SkewedClock::default(),
            paused_until: 0,
            sides: (0..customers).map(side).collect(),
        }
    }

    /// Decides about a new request at global time `time`.
    pub(super) fn on_request(
        &mut self,
        customer: usize,
        time: u64,
        history: &mut AdmissionHistory,
    ) {
        let now = self.clock(time);
        let side = &mut self.sides[customer];
        match side.allowance.try_admit(now) {
            Admission::Admitted => history.admitted.push(time),
            Admission::Refused { .. } => history.refused.push(time),
            Admission::NeedsGrant => side.waiting.push_back(time),
        }
    }

    /// Decides again about waiting requests.
    pub(super) fn retry_waiting(
        &mut self,
        customer: usize,
        time: u64,
        history: &mut AdmissionHistory,
    ) {
        let now = self.clock(time);
        let side = &mut self.sides[customer];
        while let Some(arrived) = side.waiting.front().copied() {
            match side.allowance.retry_admit(now) {
                Admission::Admitted => history.admitted.push(time),
                Admission::Refused { .. } => history.refused.push(time),
                Admission::NeedsGrant if time >= arrived + MAX_WAIT => history.refused.push(time),
                Admission::NeedsGrant => break,
            }
            side.waiting.pop_front();
        }
    }

    pub(super) fn next_request(
        &mut self,
        customer: usize,
        time: u64,
    ) -> Option<(ZoneId, LedgerRequest)> {
        let now = self.clock(time);
        let side = &mut self.sides[customer];
        let waiting = u32::try_from(side.waiting.len()).unwrap();
        side.allowance.next_request(waiting, now)
    }

    pub(super) fn on_response(
        &mut self,
        customer: usize,
        zone: &ZoneId,
        response: &LedgerResponse,
        time: u64,
    ) {
        let now = self.clock(time);
        self.sides[customer]
            .allowance
            .on_response(zone, response, now);
    }

    pub(super) fn on_failure(&mut self, customer: usize, zone: &ZoneId, sequence: u64, time: u64) {
        let now = self.clock(time);
        self.sides[customer]
            .allowance
            .on_failure(zone, sequence, now);
    }

    fn clock(&self, time: u64) -> MonotonicTime {
        self.clock.read(time)
    }
}
