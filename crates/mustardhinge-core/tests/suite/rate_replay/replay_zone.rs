//! The share pools of the zones, and the messages to and from them.

use mustardhinge_core::prelude::CustomerId;
use mustardhinge_core::rate_limit::{
    AllowanceTable, LoanOutcome, LoanTicket, ShareDeposit, ShareExchange, ShareLoan, SharePool,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{INSTANCES, at};

/// Number of zones.
pub(super) const ZONES: usize = 3;
/// Time that an operation may wait for a loan, in milliseconds.
const LOAN_WAIT: u64 = 30;
/// Time that a message is on its way, in milliseconds; more than between zones.
const MESSAGE_DELAY: u64 = 5;

/// An operation that waits for a grant or a loan.
#[derive(Clone, Copy)]
pub(super) struct WaitingOperation {
    pub(super) customer: usize,
    pub(super) arrived_at: u64,
    /// The request for a loan, and until when the operation waits for it.
    loan: Option<(LoanTicket, u64)>,
}

impl WaitingOperation {
    pub(super) const fn new(customer: usize, arrived_at: u64) -> Self {
        Self {
            customer,
            arrived_at,
            loan: None,
        }
    }
}

#[derive(Clone)]
enum ZoneMessage {
    Deposit(usize, ShareDeposit),
    Loan(ShareLoan),
}

struct ZoneMember {
    pool: SharePool,
    exchange: ShareExchange,
    /// The instance that keeps the pool, according to the last grant.
    keeper: Option<usize>,
}

impl ZoneMember {
    fn new(index: usize, incarnation: u64) -> Self {
        let id = format!("i{index}").parse().unwrap();
        Self {
            pool: SharePool::new(incarnation),
            exchange: ShareExchange::new(id, incarnation),
            keeper: None,
        }
    }
}

/// The zones.
pub(super) struct ReplayZones {
    members: Vec<ZoneMember>,
    /// Messages in flight, with when and where they arrive.
    in_flight: Vec<(u64, usize, ZoneMessage)>,
    /// Instances that know from the keeper of their pool that there is a leader.
    requesters: Vec<usize>,
    random: SmallRng,
    /// Part of the messages that are lost.
    pub(super) loss: f64,
    /// Part of the messages that arrive twice.
    pub(super) duplicates: f64,
    /// The maximum time that a message is delayed beyond that, in milliseconds.
    pub(super) max_delay: u64,
    /// Instances whose pool neither receives nor sends anything.
    pub(super) cut_off: Vec<usize>,
}

impl ReplayZones {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            members: (0..INSTANCES)
                .map(|index| ZoneMember::new(index, 0))
                .collect(),
            in_flight: Vec::new(),
            requesters: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            duplicates: 0.0,
            max_delay: 0,
            cut_off: Vec::new(),
        }
    }

    pub(super) fn restart(&mut self, index: usize, incarnation: u64) {
        self.members[index] = ZoneMember::new(index, incarnation);
    }

    /// Ends the pool and the exchange of an instance that received a grant, which names the
    /// keeper of its zone's pool.
    pub(super) fn record_grant(&mut self, index: usize, is_started: impl Fn(usize) -> bool) {
        let member = &mut self.members[index];
        member.pool.end();
        member.exchange.end();
        let mut zone = (index % ZONES..INSTANCES).step_by(ZONES);
        member.keeper = zone.find(|other| is_started(*other));
    }

    /// Requests a loan for an operation unless it did before; returns whether it still waits.
    pub(super) fn request_loan(
        &mut self,
        index: usize,
        customer: &CustomerId,
        operation: &mut WaitingOperation,
        now: u64,
    ) -> bool {
        let member = &mut self.members[index];
        let until = operation.loan.map_or(now + LOAN_WAIT, |(_, until)| until);
        if now >= until {
            return false;
        }
        let pending = operation.loan.map(|(ticket, _)| ticket);
        if pending.is_some_and(|ticket| member.exchange.is_pending(ticket)) {
            return true;
        }
        let ticket = member.exchange.request(customer, at(now));
        operation.loan = ticket.map(|ticket| (ticket, until));
        ticket.is_some()
    }

    /// Delivers the messages that have arrived until `now`.
    pub(super) fn deliver(&mut self, tables: &mut [&mut AllowanceTable], starts: &[u64], now: u64) {
        while let Some(next) = self.in_flight.iter().position(|(due, ..)| *due <= now) {
            let (arrived_at, to, message) = self.in_flight.swap_remove(next);
            if starts[to] > arrived_at {
                continue;
            }
            match message {
                ZoneMessage::Deposit(from, deposit) => {
                    self.answer((to, from), &deposit, tables[to], arrived_at);
                }
                ZoneMessage::Loan(loan) => {
                    let exchange = &mut self.members[to].exchange;
                    let outcome = exchange.accept(&loan, tables[to], at(arrived_at));
                    if outcome == Some(LoanOutcome::Closed) {
                        self.requesters.push(to);
                    }
                }
            }
        }
    }

    /// Returns the instances that have just learnt that there is a leader.
    pub(super) fn take_requesters(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.requesters)
    }

    /// Sends the messages that are due.
    pub(super) fn exchange(
        &mut self,
        tables: &mut [&mut AllowanceTable],
        starts: &[u64],
        now: u64,
    ) {
        for index in 0..INSTANCES {
            let member = &mut self.members[index];
            let keeper = member.keeper.unwrap_or(index);
            let message = member
                .exchange
                .next_message(&mut *tables[index], INSTANCES, at(now));
            let Some(message) = message.filter(|_| starts[index] <= now) else {
                continue;
            };
            if keeper == index {
                let loan = member.pool.exchange(&message, at(now)).unwrap();
                member.exchange.accept(&loan, tables[index], at(now));
            } else {
                self.send(index, keeper, &ZoneMessage::Deposit(index, message), now);
            }
        }
    }

    fn answer(
        &mut self,
        (keeper, from): (usize, usize),
        deposit: &ShareDeposit,
        table: &AllowanceTable,
        now: u64,
    ) {
        let loan = if table.is_leader_overdue(at(now)) {
            self.members[keeper].pool.exchange(deposit, at(now))
        } else {
            Some(ShareLoan::closed(deposit))
        };
        if let Some(loan) = loan {
            self.send(keeper, from, &ZoneMessage::Loan(loan), now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &ZoneMessage, now: u64) {
        let is_cut_off = self.cut_off.contains(&from) || self.cut_off.contains(&to);
        if is_cut_off || self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.duplicates));
        for _ in 0..copies {
            let delay = MESSAGE_DELAY + self.random.random_range(0..=self.max_delay);
            self.in_flight.push((now + delay, to, message.clone()));
        }
    }
}
