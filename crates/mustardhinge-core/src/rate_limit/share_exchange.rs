use std::collections::HashMap;
use std::time::Duration;

use super::{
    AllowanceTable, CustomerDeposit, LoanOutcome, LoanTicket, PoolTerm, ShareAmount, ShareDeposit,
    ShareLoan,
};
use crate::ids::{CustomerId, InstanceId};
use crate::units::MonotonicTime;

/// Minimum interval between two deposits.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a response after which a message or its response counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a response after which a message is repeated: half of the time for which an
/// operation waits for a loan, and several round trips within a zone.
const REPEAT_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum number of repeated messages. With 1 % of the messages lost, one in six million exchanges
/// fails after three.
const MAX_REPEATS: u32 = 3;
/// Time without deposits after a message without any response, which may have cost a deposit.
const DEPOSIT_PAUSE: Duration = Duration::from_secs(1);
/// Messages in a row without any response after which the pool counts as unreachable, so that
/// operations don't wait for it in vain.
const MAX_LOST: u32 = 2;
/// Time without requests for a customer of which the pool has held too little. Without it, each
/// operation of a flood is held for a round trip and sends a message.
const SHORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which amounts of any size are deposited. In between, a message for 81 customers
/// would mostly carry thousandths.
const FULL_DEPOSIT_INTERVAL: Duration = Duration::from_secs(1);
/// The least amount that is deposited in between.
const LEAST_DEPOSIT: f64 = 0.02;
/// The least amount that is deposited at all.
const LEAST_FULL_DEPOSIT: f64 = 0.001;

/// An isolated instance's exchange with the share pool of its zone.
///
/// A single message is in flight at a time. It is repeated while it has no response: the pool
/// answers each message once and repeats that response, so neither a lost message nor a lost
/// response loses deposits or loans. The exchange does nothing until an operation requests a loan
/// or the instance is isolated.
#[derive(Clone, Debug)]
pub struct ShareExchange {
    instance: InstanceId,
    incarnation: u64,
    term: Option<PoolTerm>,
    /// The number of the last message.
    sequence: u64,
    /// When the last message was sent, unless it was answered or has timed out.
    in_flight_since: Option<MonotonicTime>,
    /// How often the message in flight was repeated.
    repeats: u32,
    lost: u32,
    paused_until: MonotonicTime,
    deposited_at: MonotonicTime,
    fully_deposited_at: MonotonicTime,
    requests: HashMap<CustomerId, u32>,
    /// The operations requested by the message in flight, by customer.
    requested: HashMap<CustomerId, u32>,
    /// Until when no loan is requested for a customer of which the pool has held too little.
    short_until: HashMap<CustomerId, MonotonicTime>,
    /// The deposits in flight.
    deposited: Vec<(CustomerId, ShareAmount)>,
}

impl ShareExchange {
    /// Creates the exchange of a process.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            term: None,
            sequence: 0,
            in_flight_since: None,
            repeats: 0,
            lost: 0,
            paused_until: MonotonicTime::default(),
            deposited_at: MonotonicTime::default(),
            fully_deposited_at: MonotonicTime::default(),
            requests: HashMap::new(),
            deposited: Vec::new(),
            requested: HashMap::new(),
            short_until: HashMap::new(),
        }
    }

    /// Ends the exchange, because the instance has a leader. A response that is still in flight is
    /// ignored.
    pub fn end(&mut self) {
        self.term = None;
        self.in_flight_since = None;
        self.lost = 0;
        self.paused_until = MonotonicTime::default();
        self.requests.clear();
        self.short_until.clear();
    }

    /// Requests one operation in the next message, or returns `None` if the pool doesn't respond or
    /// has just held too little for the customer.
    pub fn request(&mut self, customer: &CustomerId, now: MonotonicTime) -> Option<LoanTicket> {
        if self.lost >= MAX_LOST && now < self.paused_until {
            return None;
        }
        let short_until = self.short_until.get(customer);
        if short_until.is_some_and(|until| now < *until) {
            return None;
        }
        *self.requests.entry(customer.clone()).or_default() += 1;
        Some(LoanTicket(self.sequence + 1))
    }

    /// Returns whether the message with a request is yet to be sent or answered.
    #[must_use]
    pub const fn is_pending(&self, ticket: LoanTicket) -> bool {
        ticket.0 > self.sequence || ticket.0 == self.sequence && self.in_flight_since.is_some()
    }

    /// Gives up the message in flight if its response is overdue, and returns whether it was.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let is_lost = |since| now.saturating_since(since) >= RESPONSE_TIMEOUT;
        let has_expired = self.in_flight_since.is_some_and(is_lost);
        if has_expired {
            self.in_flight_since = None;
            // The next message only finds out whether the pool responds.
            self.term = None;
            self.lost += 1;
            self.paused_until = now + DEPOSIT_PAUSE;
        }
        has_expired
    }

    /// Returns the message to send at `now`, if one is due. Its deposits are taken out of the
    /// `table` of an instance that shares the rates with `instances` instances.
    pub fn next_message(
        &mut self,
        table: &mut AllowanceTable,
        instances: usize,
        now: MonotonicTime,
    ) -> Option<ShareDeposit> {
        self.expire(now);
        if !table.uses_shares(now) {
            return None;
        }
        if let Some(since) = self.in_flight_since {
            return self.repeat(since, now);
        }
        let is_due = self.deposit_wait(now).is_zero();
        let deposits = match self.term {
            Some(_) if is_due => self.withdraw(table, instances, now),
            _ => Vec::new(),
        };
        if is_due && self.term.is_some() {
            self.deposited_at = now;
        }
        let has_content = !deposits.is_empty() || !self.requests.is_empty();
        if !has_content && (self.term.is_some() || !is_due) {
            return None;
        }
        let amounts = deposits.iter();
        self.deposited = amounts
            .map(|deposit| (deposit.customer.clone(), deposit.amount))
            .collect();
        self.requested = std::mem::take(&mut self.requests);
        self.sequence += 1;
        self.in_flight_since = Some(now);
        self.repeats = 0;
        Some(self.message(deposits))
    }

    /// Repeats the message in flight if its response is late.
    ///
    /// The deposits are left out: if the pool has not received them, its response says so, and they
    /// are put back.
    fn repeat(&mut self, since: MonotonicTime, now: MonotonicTime) -> Option<ShareDeposit> {
        if self.repeats >= MAX_REPEATS || now < self.repeat_at(since) {
            return None;
        }
        self.repeats += 1;
        Some(self.message(Vec::new()))
    }

    fn repeat_at(&self, since: MonotonicTime) -> MonotonicTime {
        since + REPEAT_INTERVAL * (self.repeats + 1)
    }

    fn message(&self, deposits: Vec<CustomerDeposit>) -> ShareDeposit {
        let requested = self.requested.clone().into_iter();
        ShareDeposit {
            from: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            term: self.term,
            deposits,
            requests: requested.collect(),
            attempt: self.repeats,
        }
    }

    /// Applies the response to the message in flight to the `table` and returns the outcome. Any
    /// other response is ignored.
    pub fn accept(
        &mut self,
        loan: &ShareLoan,
        table: &mut AllowanceTable,
        now: MonotonicTime,
    ) -> Option<LoanOutcome> {
        self.expire(now);
        let is_expected = (loan.incarnation, loan.sequence) == (self.incarnation, self.sequence);
        if !is_expected || self.in_flight_since.take().is_none() {
            return None;
        }
        self.lost = 0;
        let deposited = std::mem::take(&mut self.deposited);
        // A pool of another term may have accepted the deposits before it ended.
        if loan.accepted.is_empty() && loan.term == self.term {
            table.restore(&deposited);
        }
        self.term = loan.term;
        let customers = deposited.iter().map(|(customer, _)| customer);
        table.record_accepted(customers.zip(loan.accepted.iter().copied()));
        let mut missing = std::mem::take(&mut self.requested);
        let mut lent = 0;
        for (customer, operations) in &loan.loans {
            if let Some(left) = missing.get_mut(customer) {
                // A pool lends at most what was requested.
                let accepted = (*operations).min(*left);
                *left -= accepted;
                lent += accepted;
                table.add_loan(customer, accepted);
            }
        }
        if loan.term.is_none() {
            self.deposited_at = now;
            return Some(LoanOutcome::Closed);
        }
        missing.retain(|_, left| *left > 0);
        let until = now + SHORT_INTERVAL;
        let short = missing.keys().map(|customer| (customer.clone(), until));
        self.short_until.extend(short);
        Some(LoanOutcome::Answered {
            lent,
            missing: missing.values().sum(),
        })
    }

    /// Returns the time until [`next_message`](Self::next_message) has to be called again.
    #[must_use]
    pub fn wait(&self, now: MonotonicTime) -> Duration {
        match self.in_flight_since {
            Some(since) => {
                let timeout_at = since + RESPONSE_TIMEOUT;
                let next_at = if self.repeats < MAX_REPEATS {
                    timeout_at.min(self.repeat_at(since))
                } else {
                    timeout_at
                };
                next_at.saturating_since(now)
            }
            None if !self.requests.is_empty() => Duration::ZERO,
            None => self.deposit_wait(now).max(Duration::from_millis(1)),
        }
    }

    fn deposit_wait(&self, now: MonotonicTime) -> Duration {
        let due_at = self.paused_until.max(self.deposited_at + DEPOSIT_INTERVAL);
        due_at.saturating_since(now)
    }

    fn withdraw(
        &mut self,
        table: &mut AllowanceTable,
        instances: usize,
        now: MonotonicTime,
    ) -> Vec<CustomerDeposit> {
        let is_full = now.saturating_since(self.fully_deposited_at) >= FULL_DEPOSIT_INTERVAL;
        if is_full {
            self.fully_deposited_at = now;
        }
        let least = if is_full {
            LEAST_FULL_DEPOSIT
        } else {
            LEAST_DEPOSIT
        };
        table.withdraw(instances, ShareAmount::at_most(least), now)
    }
}
