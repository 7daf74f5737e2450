use std::collections::HashMap;

use super::answered_message::AnsweredMessage;
use super::pooled_share::PooledShare;
use super::{PoolTerm, ShareAmount, ShareDeposit, ShareLoan};
use crate::ids::{CustomerId, InstanceId};
use crate::units::MonotonicTime;

/// What the isolated instances of a zone lend each other, kept by one of them.
///
/// Load pattern: many customers with so few operations that the share of each instance is less
/// than one operation, while the shares of a zone together suffice.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    term: PoolTerm,
    shares: HashMap<CustomerId, PooledShare>,
    /// The last message of each process. Incarnations are random, so they don't order the processes
    /// of an instance.
    last_messages: HashMap<(InstanceId, u64), AnsweredMessage>,
}

impl SharePool {
    /// Creates an empty pool of a process.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        let term = PoolTerm {
            incarnation,
            number: 0,
        };
        Self {
            term,
            ..Self::default()
        }
    }

    /// Ends the pool, because its instance has a leader. What it holds is lost.
    pub fn end(&mut self) {
        if self.last_messages.is_empty() {
            return;
        }
        self.term.number += 1;
        self.shares.clear();
        self.last_messages.clear();
    }

    /// Adds the deposits of a message and returns the response, or `None` if the message is a
    /// duplicate or older than the last one of its sender.
    ///
    /// The deposits count only if the message names the current term. Loans need no term: a
    /// borrower accepts a single response to each of its messages. A repeated message that was
    /// answered before gets the same response again and changes nothing.
    pub fn exchange(&mut self, message: &ShareDeposit, now: MonotonicTime) -> Option<ShareLoan> {
        let process = (message.from.clone(), message.incarnation);
        if let Some(last) = self.last_messages.get_mut(&process)
            && !last.precedes(message)
        {
            return last.repeat(message);
        }
        let loan = self.answer(message, now);
        let answered = AnsweredMessage::new(message, loan.clone());
        self.last_messages.insert(process, answered);
        Some(loan)
    }

    fn answer(&mut self, message: &ShareDeposit, now: MonotonicTime) -> ShareLoan {
        let mut loan = ShareLoan {
            incarnation: message.incarnation,
            sequence: message.sequence,
            term: Some(self.term),
            accepted: Vec::new(),
            loans: Vec::new(),
        };
        let is_counted = message.term == Some(self.term);
        for deposit in message.deposits.iter().filter(|_| is_counted) {
            let share = self.shares.entry(deposit.customer.clone()).or_default();
            let accepted = share.deposit(&message.from, deposit.amount, deposit.room, now);
            loan.accepted.push(accepted);
        }
        for (customer, requested) in &message.requests {
            let share = self.shares.get_mut(customer);
            let lent = share.map_or(0, |share| share.take(*requested, now));
            if lent > 0 {
                loan.loans.push((customer.clone(), lent));
            }
        }
        loan
    }

    /// Returns what the pool holds for a customer.
    #[must_use]
    pub fn balance(&self, customer: &CustomerId) -> ShareAmount {
        let share = self.shares.get(customer);
        share.map_or(ShareAmount::ZERO, PooledShare::balance)
    }
}
