//! Shares of customers' rates that isolated instances lend each other.

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::rate_limit::{
    AllowanceGrant, AllowanceTable, CustomerRate, LoanOutcome, ShareAmount, ShareDeposit,
    ShareExchange, ShareLoan, SharePool,
};
use proptest::prelude::*;

/// Number of instances; the first one keeps the pool.
const INSTANCES: usize = 6;
/// Duration of a step, in milliseconds.
const STEP: u64 = 20;
/// Time after the last grant at which an instance is isolated, in milliseconds.
const ISOLATED_AT: u64 = 750;
/// Time after its start until which a process waits for its first grant, in milliseconds.
const FIRST_GRANT_WINDOW: u64 = 1_500;
const LIMITS: CustomerRate = CustomerRate {
    rate: 8.0,
    burst: 8.0,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer() -> CustomerId {
    "c".parse().unwrap()
}

fn grant(ceiling: u64, share: u32) -> AllowanceGrant {
    AllowanceGrant {
        customer: customer(),
        ceiling,
        share,
        fill: 8,
        closed_ms: None,
    }
}

/// An instance with its pool, which only the first one uses.
struct Member {
    incarnation: u64,
    started_at: u64,
    table: AllowanceTable,
    exchange: ShareExchange,
    pool: SharePool,
    /// The granted allowance and the share of the rate, in millionths.
    granted: Option<(u64, u32)>,
}

impl Member {
    fn new(index: usize, incarnation: u64, now: u64, granted: Option<(u64, u32)>) -> Self {
        let mut table = AllowanceTable::starting_at(at(now));
        table.set_overload_control(OverloadControl::On);
        table.set_customers([(&customer(), LIMITS)], at(now));
        if let Some((ceiling, share)) = granted {
            table.apply_grants(&[grant(ceiling, share)], at(now), at(now));
        }
        Self {
            incarnation,
            started_at: now,
            table,
            exchange: ShareExchange::new(format!("i{index}").parse().unwrap(), incarnation),
            pool: SharePool::new(incarnation),
            granted,
        }
    }

    /// Returns the most that the bucket of this process has held without a pool.
    fn held(&self, now: u64) -> f64 {
        let age = now - self.started_at;
        let Some((granted, share)) = self.granted else {
            let refill = LIMITS.rate * age as f64 / 1_000.0;
            return 0.25 / INSTANCES as f64 * refill;
        };
        let refill = LIMITS.rate * age.saturating_sub(ISOLATED_AT) as f64 / 1_000.0;
        let level = f64::from(share) / 1e6 * (LIMITS.usable(8.0) + refill) - granted as f64;
        granted as f64 + level.max(0.0)
    }
}

#[derive(Clone)]
enum Message {
    Deposit(usize, ShareDeposit),
    Loan(usize, ShareLoan),
}

struct Zone {
    now: u64,
    members: Vec<Member>,
    /// The messages that were sent and may still arrive, also again.
    sent: Vec<Message>,
    admitted: u64,
    /// What the processes that have ended held.
    held_before: f64,
}

impl Zone {
    fn new(shares: [(u64, u32); INSTANCES]) -> Self {
        let members = shares.into_iter().enumerate();
        Self {
            now: 0,
            members: members
                .map(|(index, share)| Member::new(index, 1, 0, Some(share)))
                .collect(),
            sent: Vec::new(),
            admitted: 0,
            held_before: 0.0,
        }
    }

    fn operate(&mut self, index: usize) -> bool {
        let (now, member) = (at(self.now), &mut self.members[index]);
        let is_admitted = member.table.admit(&customer(), INSTANCES, now).is_ok();
        self.admitted += u64::from(is_admitted);
        if !is_admitted && member.table.uses_shares(now) {
            member.exchange.request(&customer(), now);
        }
        is_admitted
    }

    fn send(&mut self, index: usize) {
        let member = &mut self.members[index];
        let (table, now) = (&mut member.table, at(self.now));
        if let Some(message) = member.exchange.next_message(table, INSTANCES, now) {
            self.sent.push(Message::Deposit(index, message));
        }
    }

    fn deliver(&mut self, message: Message) -> Option<LoanOutcome> {
        let now = at(self.now);
        match message {
            Message::Deposit(from, deposit) => {
                let loan = self.members[0].pool.exchange(&deposit, now);
                self.sent.extend(loan.map(|loan| Message::Loan(from, loan)));
                None
            }
            Message::Loan(to, loan) => {
                let Member {
                    exchange, table, ..
                } = &mut self.members[to];
                exchange.accept(&loan, table, now)
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let member = &self.members[index];
        self.held_before += member.held(self.now);
        self.members[index] = Member::new(index, member.incarnation + 1, self.now, None);
    }

    fn held(&self) -> f64 {
        let members = self.members.iter();
        self.held_before + members.map(|member| member.held(self.now)).sum::<f64>()
    }

    /// Exchanges messages without losses for a time.
    fn exchange(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            (0..INSTANCES).for_each(|index| self.send(index));
            while !self.sent.is_empty() {
                let message = self.sent.remove(0);
                self.deliver(message);
            }
            self.now += STEP;
        }
    }
}

/// A zone in which each instance holds less than one operation and no allowance.
fn fractions() -> Zone {
    let mut zone = Zone::new([(0, 40_000); INSTANCES]);
    // Long enough for the customer to count as idle.
    zone.now = 2_000;
    zone
}

/// Guards against refusals of operations for which the shares of a zone together suffice.
#[test]
fn an_instance_borrows_what_others_cannot_use() {
    let mut zone = fractions();
    zone.exchange(400);
    assert!(!zone.operate(1));
    zone.exchange(STEP);
    assert!(zone.operate(1));
}

/// Guards against a deposit that counts again when its message arrives twice or late.
#[test]
fn a_duplicate_or_late_deposit_is_ignored() {
    let mut zone = fractions();
    zone.exchange(100);
    zone.now += 100;
    zone.send(1);
    let message = zone.sent.pop().unwrap();
    zone.deliver(message.clone());
    let (balance, sent) = (zone.members[0].pool.balance(&customer()), zone.sent.len());
    zone.deliver(message);
    assert_eq!(zone.members[0].pool.balance(&customer()), balance);
    assert_eq!(zone.sent.len(), sent, "no response");
}

/// Guards against a deposit for an earlier process or an ended pool that counts in a new one.
#[test]
fn a_deposit_of_another_term_does_not_count() {
    for restarts in [true, false] {
        let mut zone = fractions();
        zone.exchange(100);
        zone.now += 100;
        zone.send(1);
        let message = zone.sent.pop().unwrap();
        if restarts {
            zone.restart(0);
        } else {
            zone.members[0].pool.end();
        }
        zone.deliver(message);
        assert!(zone.members[0].pool.balance(&customer()).is_zero());
    }
}

/// Guards against a lost loan that is used later, and against a second response that counts.
#[test]
fn a_loan_counts_once_and_only_in_time() {
    let mut zone = fractions();
    zone.exchange(400);
    zone.operate(1);
    zone.send(1);
    let message = zone.sent.pop().unwrap();
    zone.deliver(message);
    let loan = zone.sent.pop().unwrap();
    let mut late = zone.members[1].exchange.clone();
    let Message::Loan(_, lent) = &loan else {
        unreachable!()
    };
    let overdue = at(zone.now + 100);
    assert_eq!(late.accept(lent, &mut zone.members[1].table, overdue), None);
    let answered = LoanOutcome::Answered {
        lent: 1,
        missing: 0,
    };
    assert_eq!(zone.deliver(loan.clone()), Some(answered));
    assert_eq!(zone.deliver(loan), None);
    assert!(zone.operate(1));
    assert!(!zone.operate(1));
}

/// Guards against deposits to a pool that doesn't respond, and operations that wait for it.
#[test]
fn a_dead_pool_gets_one_deposit_and_then_nothing_for_a_second() {
    let mut zone = fractions();
    zone.exchange(100);
    zone.now += 100;
    let mut deposits = Vec::new();
    let from = zone.now;
    while zone.now < from + 2_000 {
        zone.send(1);
        zone.operate(1);
        if let Some(Message::Deposit(_, message)) = zone.sent.pop() {
            deposits.extend((!message.deposits.is_empty()).then_some(zone.now));
        }
        zone.now += STEP;
    }
    assert_eq!(deposits.len(), 1, "{deposits:?}");
    let member = &mut zone.members[1];
    assert_eq!(member.exchange.request(&customer(), at(zone.now)), None);
}

/// Time after which a message without a response is repeated, in milliseconds.
const REPEAT_AFTER: u64 = STEP;

impl Zone {
    /// Sends a message of instance 1 and returns it.
    fn take_message(&mut self) -> Message {
        self.send(1);
        self.sent.pop().expect("a message is due")
    }

    /// Returns what the pool holds.
    fn balance(&self) -> ShareAmount {
        self.members[0].pool.balance(&customer())
    }
}

/// Guards against a lost response that loses the loan in it, and against a repeated message that
/// counts again.
#[test]
fn a_lost_response_is_sent_again() {
    let mut zone = fractions();
    zone.exchange(400);
    assert!(!zone.operate(1));
    let message = zone.take_message();
    zone.deliver(message);
    zone.sent.clear();
    let balance = zone.balance();
    zone.now += REPEAT_AFTER;
    let repeated = zone.take_message();
    zone.deliver(repeated.clone());
    assert_eq!(zone.balance(), balance);
    let loan = zone.sent.pop().expect("the response again");
    zone.deliver(repeated);
    assert!(zone.sent.is_empty(), "a duplicate has no response");
    zone.deliver(loan);
    assert!(zone.operate(1));
    assert!(!zone.operate(1));
}

/// Guards against a deposit that is lost with its message, and against one that counts when its
/// message arrives after it was put back.
#[test]
fn a_deposit_that_did_not_arrive_is_put_back() {
    let mut zone = fractions();
    zone.exchange(100);
    zone.now += 100;
    let lost = zone.take_message();
    let Message::Deposit(_, deposit) = &lost else {
        unreachable!()
    };
    let amount = deposit.deposits[0].amount;
    assert!(!amount.is_zero());
    zone.now += REPEAT_AFTER;
    let repeated = zone.take_message();
    zone.deliver(repeated);
    let response = zone.sent.pop().unwrap();
    zone.deliver(response);
    let balance = zone.balance();
    zone.deliver(lost);
    assert_eq!(zone.balance(), balance, "the message arrives late");
    zone.now += 100;
    let Message::Deposit(_, next) = zone.take_message() else {
        unreachable!()
    };
    assert!(next.deposits[0].amount >= amount);
}

/// Guards against a deposit that is put back although a pool which has ended since accepted it.
#[test]
fn a_deposit_to_an_ended_pool_is_not_put_back() {
    let mut zone = fractions();
    zone.exchange(100);
    zone.now += 100;
    let message = zone.take_message();
    let Message::Deposit(_, deposit) = &message else {
        unreachable!()
    };
    let amount = deposit.deposits[0].amount;
    zone.deliver(message);
    zone.sent.clear();
    zone.members[0].pool.end();
    zone.now += REPEAT_AFTER;
    let repeated = zone.take_message();
    zone.deliver(repeated);
    let response = zone.sent.pop().unwrap();
    zone.deliver(response);
    zone.now += 100;
    let Message::Deposit(_, next) = zone.take_message() else {
        unreachable!()
    };
    assert!(next.deposits[0].amount < amount);
}

/// Guards against exchanges by instances that have a leader.
#[test]
fn an_instance_with_a_leader_sends_nothing() {
    let mut zone = fractions();
    zone.exchange(100);
    zone.now += 100;
    let member = &mut zone.members[1];
    let now = at(zone.now);
    member.table.apply_grants(&[], now, now);
    member.exchange.end();
    zone.send(1);
    assert!(zone.sent.is_empty());
    let mut off = fractions();
    let table = &mut off.members[1].table;
    table.set_overload_control(OverloadControl::Off);
    off.send(1);
    assert!(off.sent.is_empty());
}

proptest! {
    /// Guards against operations that are created by lost, repeated and reordered messages or by
    /// restarts of instances and of the pool.
    #[test]
    fn instances_admit_no_more_than_their_buckets_held(
        shares in prop::array::uniform6((0_u64..4, 0_u32..160_000)),
        events in prop::collection::vec((0_u8..20, any::<prop::sample::Index>()), 1..600),
    ) {
        let mut zone = Zone::new(shares);
        zone.now = ISOLATED_AT + STEP;
        for (kind, choice) in events {
            match kind {
                0..4 => zone.now += STEP,
                4..9 => {
                    zone.operate(choice.index(INSTANCES));
                }
                9..13 => zone.send(choice.index(INSTANCES)),
                13..19 if !zone.sent.is_empty() => {
                    let index = choice.index(zone.sent.len());
                    let message = zone.sent[index].clone();
                    if kind < 17 {
                        zone.sent.remove(index);
                    }
                    if kind < 18 {
                        zone.deliver(message);
                    }
                }
                19 if choice.index(8) == 0 => zone.restart(choice.index(64) % INSTANCES),
                _ => {}
            }
            prop_assert!(zone.admitted as f64 <= zone.held() + 1e-6);
        }
        // All that is left: every instance uses what it can still get.
        zone.now += FIRST_GRANT_WINDOW;
        for round in 0..20 * INSTANCES {
            zone.operate(round % INSTANCES);
            zone.exchange(STEP);
        }
        prop_assert!(zone.admitted as f64 <= zone.held() + 1e-6);
    }
}
