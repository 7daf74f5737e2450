//! Idle transactions: which one is ended, and a replay of 120 callers that stay idle inside
//! transactions alongside the usual load of one target.

use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::connection::{
    ConnectionHoldings, IdleTransaction, IdleTransactions, SharedLimit, TransactionNumber,
};
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CustomerWeight, PopOutcome, PriorityItem, PriorityQueue, PushOutcome, QueueLimits, SlotCost,
};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

/// Connections of a target at its first gateway: 60% of 62.
const CONNECTIONS: usize = 37;
const SLOTS: usize = 5;
const CUSTOMERS: usize = 81;
/// Rates by customer: the first one sends half of all traffic, the second one's callers stay idle.
const RATES: [f64; 3] = [80.0, 1.0, 1.0];
const HOG: usize = 1;
const HOG_CALLERS: usize = 120;
/// Time for which the idle callers keep their transactions open.
const HOG_IDLE_MS: u64 = 6_500;
/// When the idle callers begin.
const HOG_AT_MS: u64 = 1_000;
/// Statements per second at one target of 24: all of P's, of which a seventh begins a transaction.
const ARRIVALS_PER_S: f64 = 45.0;
const TRANSACTION_PART: f64 = 0.15;
const SERVICE_MS: u64 = 22;
const OPENING_MS: u64 = 12;
/// Maximum wait of a statement: three quarters of an objective of 400 ms.
const MAX_WAIT_MS: u64 = 300;
const MIN_IDLE_MS: u64 = 250;
const END_MS: u64 = 12_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().unwrap()
}

fn weight(index: usize) -> CustomerWeight {
    CustomerWeight::from_rate(RATES[index.min(2)])
}

fn limit() -> SharedLimit {
    let weights = (0..CUSTOMERS).map(|index| u64::from(weight(index).get()));
    SharedLimit {
        connections: CONNECTIONS,
        total_weight: weights.sum(),
    }
}

/// What a caller of the replay does next when its statement ends.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Work {
    customer: usize,
    /// Statements left in the transaction, or 0 outside one.
    statements: u32,
    idle_ms: u64,
}

#[derive(Debug)]
struct Running {
    work: Work,
    ends_at: u64,
}

/// A target's connections, their idle transactions and the statements that wait for one.
struct Replay {
    idle: IdleTransactions<Work>,
    holdings: ConnectionHoldings,
    /// Idle transactions with the time of their next statement.
    resumes: Vec<(u64, TransactionNumber, Work)>,
    open: usize,
    running: Vec<Running>,
    /// Statements of open transactions that wait for a slot and hold their connection.
    held: VecDeque<Work>,
    waiting: PriorityQueue<Work>,
    refused: Vec<(u64, usize)>,
    ended: Vec<(usize, u64)>,
    ends_transactions: bool,
}

impl Replay {
    fn new(ends_transactions: bool) -> Self {
        Self {
            idle: IdleTransactions::default(),
            holdings: ConnectionHoldings::default(),
            resumes: Vec::new(),
            open: 0,
            running: Vec::new(),
            held: VecDeque::new(),
            waiting: PriorityQueue::new(QueueLimits::new().slots(SLOTS as u32)),
            refused: Vec::new(),
            ended: Vec::new(),
            ends_transactions,
        }
    }

    fn close(&mut self, customer_index: usize) {
        self.open -= 1;
        self.holdings.record_closed(&customer(customer_index));
    }

    fn step(&mut self, now: u64) {
        let ended = self.running.extract_if(.., |run| run.ends_at <= now);
        for run in ended.collect::<Vec<_>>() {
            let mut work = run.work;
            work.statements = work.statements.saturating_sub(1);
            if work.statements == 0 {
                self.close(work.customer);
                continue;
            }
            let number = self.idle.insert(IdleTransaction {
                customer: customer(work.customer),
                weight: weight(work.customer),
                since: at(now),
                connection: work,
            });
            self.resumes.push((now + work.idle_ms, number, work));
        }
        let due = self.resumes.extract_if(.., |(at, ..)| *at <= now);
        for (_, number, _) in due.collect::<Vec<_>>() {
            self.held.extend(self.idle.take(number));
        }
        while self.running.len() < SLOTS {
            let Some(work) = self.held.pop_front() else {
                break;
            };
            self.run(work, SERVICE_MS, now);
        }
        while let Some(expired) = self.waiting.pop_expired(at(now)) {
            self.refused.push((now, expired.refused.item.customer));
        }
        while !self.waiting.is_empty() && self.running.len() < SLOTS && self.make_room(now) {
            let Some(PopOutcome::Ready(ready)) = self.waiting.pop(at(now)) else {
                break;
            };
            self.open += 1;
            self.holdings.record_opened(&ready.customer);
            self.run(ready.item, SERVICE_MS + OPENING_MS, now);
        }
    }

    fn push(&mut self, work: Work, now: u64) {
        let item = PriorityItem {
            customer: customer(work.customer),
            weight: weight(work.customer),
            priority: RoutePriority::HIGHEST,
            admit_by: at(now + MAX_WAIT_MS),
            deadline: at(now + MAX_WAIT_MS),
            cost: SlotCost::new(Duration::from_millis(SERVICE_MS + OPENING_MS)),
            item: work,
        };
        if let PushOutcome::Refused(refusal) = self.waiting.push(item, at(now)) {
            self.refused.push((now, refusal.refused.item.customer));
        }
    }

    fn run(&mut self, work: Work, takes_ms: u64, now: u64) {
        let ends_at = now + takes_ms;
        self.running.push(Running { work, ends_at });
    }

    /// Returns whether a connection may be opened, after an idle transaction was ended if necessary.
    fn make_room(&mut self, now: u64) -> bool {
        if self.open < CONNECTIONS {
            return true;
        }
        if !self.ends_transactions {
            return false;
        }
        let Some(ended) = self.idle.end_one(&self.holdings, limit(), at(now)) else {
            return false;
        };
        let index = ended.connection.customer;
        let held = self.holdings.count(&customer(index));
        assert!(held > 1, "customer {index} lost its only connection");
        let idle_ms = at(now).saturating_since(ended.since).as_millis() as u64;
        self.ended.push((index, idle_ms));
        self.close(index);
        true
    }
}

fn arrivals(now: u64, rng: &mut impl Rng) -> Vec<Work> {
    let mut works = Vec::new();
    if rng.random::<f64>() < ARRIVALS_PER_S / 1_000.0 {
        let is_first = rng.random::<bool>();
        let customer = if is_first {
            0
        } else {
            rng.random_range(2..CUSTOMERS)
        };
        let is_transaction = rng.random::<f64>() < TRANSACTION_PART;
        works.push(Work {
            customer,
            statements: if is_transaction { 3 } else { 1 },
            idle_ms: 5,
        });
    }
    // The idle callers come over half a second, and each again after its transaction has ended.
    let since = now.saturating_sub(HOG_AT_MS) % (HOG_IDLE_MS + 500);
    if now >= HOG_AT_MS && since < 500 && since * HOG_CALLERS as u64 % 500 < HOG_CALLERS as u64 {
        works.push(Work {
            customer: HOG,
            statements: 2,
            idle_ms: HOG_IDLE_MS,
        });
    }
    works
}

fn replay(seed: u64, ends_transactions: bool) -> Replay {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut replay = Replay::new(ends_transactions);
    for now in 0..END_MS {
        for work in arrivals(now, &mut rng) {
            replay.push(work, now);
        }
        replay.step(now);
    }
    replay
}

/// Refusals of other customers once the idle callers have been idle for long enough.
fn refused_others(replay: &Replay) -> usize {
    let after = HOG_AT_MS + MIN_IDLE_MS + 2 * SERVICE_MS;
    let refused = replay.refused.iter();
    refused
        .filter(|(at, customer)| *customer != HOG && *at > after)
        .count()
}

/// Guards against statements of other customers that are refused while 120 callers of a small
/// customer stay idle inside transactions for 6.5 s, and against the end of a transaction that was
/// idle for less than 250 ms or belongs to another customer.
#[test]
fn idle_callers_keep_no_connection_from_other_customers() {
    for seed in 0..5 {
        let replay = replay(seed, true);
        assert_eq!(refused_others(&replay), 0, "seed {seed}");
        assert!(replay.ended.len() > 20, "seed {seed}: too few to tell");
        for (customer, idle_ms) in &replay.ended {
            assert!(*customer == HOG && *idle_ms >= MIN_IDLE_MS, "seed {seed}");
        }
    }
}

/// Shows that the replay fills the connections: without the rule, others are refused.
#[test]
fn without_the_rule_idle_callers_hold_all_connections() {
    let refused = refused_others(&replay(0, false));
    assert!(refused > 100, "{refused}");
}

/// Inserts idle transactions of a customer, each with the time since when it is idle.
fn insert(
    idle: &mut IdleTransactions<u64>,
    holdings: &mut ConnectionHoldings,
    index: usize,
    times: &[u64],
) {
    for since in times {
        holdings.record_opened(&customer(index));
        idle.insert(IdleTransaction {
            customer: customer(index),
            weight: weight(index),
            since: at(*since),
            connection: *since,
        });
    }
}

/// Guards against a choice by age alone, and within the customer by anything else.
#[test]
fn the_customer_with_the_most_idle_transactions_loses_its_oldest() {
    let (mut idle, mut holdings) = (IdleTransactions::default(), ConnectionHoldings::default());
    insert(&mut idle, &mut holdings, 1, &[10, 11]);
    insert(&mut idle, &mut holdings, 2, &[40, 30, 50]);
    let ended = idle.end_one(&holdings, limit(), at(1_000)).unwrap();
    assert_eq!(ended.connection, 30);
    assert_eq!(idle.len(), 4);
}

/// Guards against a customer that loses transactions although it holds no more than its share, by
/// its weight or the one connection that every customer may hold.
#[test]
fn a_customer_within_its_share_loses_nothing() {
    let (mut idle, mut holdings) = (IdleTransactions::default(), ConnectionHoldings::default());
    insert(&mut idle, &mut holdings, 0, &[0; CONNECTIONS / 2]);
    insert(&mut idle, &mut holdings, 2, &[0]);
    assert!(idle.end_one(&holdings, limit(), at(9_000)).is_none());
    insert(&mut idle, &mut holdings, 0, &[8_900]);
    let ended = idle.end_one(&holdings, limit(), at(9_000)).unwrap();
    assert_eq!(ended.customer, customer(0));
}

/// Guards against a statement that still uses the connection of an ended transaction, and against
/// the end of one whose statement runs.
#[test]
fn a_transaction_is_either_taken_or_ended() {
    let (mut idle, mut holdings) = (IdleTransactions::default(), ConnectionHoldings::default());
    insert(&mut idle, &mut holdings, 1, &[0]);
    holdings.record_opened(&customer(1));
    let number = idle.insert(IdleTransaction {
        customer: customer(1),
        weight: weight(1),
        since: at(1),
        connection: 1,
    });
    assert!(idle.contains(number));
    assert_eq!(idle.take(number), Some(1));
    let ended = idle.end_one(&holdings, limit(), at(1_000)).unwrap();
    assert_eq!(ended.connection, 0);
    assert!(idle.end_one(&holdings, limit(), at(1_000)).is_none());
    assert_eq!(idle.take(number), None);
    holdings.record_closed(&customer(1));
    assert_eq!(holdings.count(&customer(1)), 1);
}

/// Guards against a waiting statement that is woken late or never.
#[test]
fn the_next_end_is_that_of_the_oldest_younger_transaction() {
    let (mut idle, mut holdings) = (IdleTransactions::default(), ConnectionHoldings::default());
    insert(&mut idle, &mut holdings, 1, &[0, 100, 200]);
    assert_eq!(idle.next_end(at(260)), Some(at(350)));
    assert_eq!(idle.next_end(at(450)), None);
}
