//! The limit over any window, for one ledger and its entries with messages in any
//! order.

use std::time::Duration;

use mustardhinge_core::budget::{
    Admission, BudgetLimit, ClientId, EntryAllowance, LedgerRequest, LedgerResponse, RequestAmount,
    ShareLedger,
};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::property_cases::scaled_cases;

const ENTRIES: usize = 3;
const STEPS: usize = 1_500;
const RATE: u64 = 4;
const BURST: u64 = 12;
const LOW_BURST: u64 = 4;
/// Runs within which an injected fault must be detected.
const INJECTED_FAULT_RUNS: u64 = 300;

/// A mechanism that the model disables at the public interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Entries read the clock, are paused, and then use expired grants.
    ExpiryIgnored,
    /// Entries keep the amounts that they report as returned.
    ReturnedButKept,
    /// Duplicate and stale requests are handled as new ones.
    DuplicatesAccepted,
    /// Entries use grants of requests that have timed out.
    LateResponseAccepted,
}

struct Entry {
    allowance: EntryAllowance,
    offset: Duration,
    clock_read: MonotonicTime,
    pending: u64,
}

struct Model {
    injected: InjectedFault,
    random: StdRng,
    now: MonotonicTime,
    ledger: ShareLedger,
    entries: Vec<Entry>,
    requests: Vec<(usize, LedgerRequest)>,
    responses: Vec<(usize, LedgerResponse)>,
    admitted: Vec<MonotonicTime>,
    lowered_at: Option<MonotonicTime>,
    deliveries: u64,
}

fn zone() -> ZoneId {
    "a".parse().unwrap()
}

fn limit(burst: u64) -> BudgetLimit {
    let rate = RequestRate::from_millis(RATE * 1_000);
    BudgetLimit::new(rate, RequestBurst::from_millis(burst * 1_000))
}

impl Model {
    fn new(seed: u64, injected: InjectedFault) -> Self {
        let entry = |index: usize| Entry {
            allowance: EntryAllowance::new(
                ClientId {
                    instance: format!("i-{index}").parse().unwrap(),
                    incarnation: 1,
                },
                zone(),
                [],
                MonotonicTime::default(),
            ),
            offset: Duration::from_secs(1_000 * index as u64),
            clock_read: MonotonicTime::default(),
            pending: 0,
        };
        Self {
            injected,
            random: StdRng::seed_from_u64(seed),
            now: MonotonicTime::from_millis(10_000),
            ledger: ShareLedger::empty(1, limit(BURST), MonotonicTime::default()),
            entries: (0..ENTRIES).map(entry).collect(),
            requests: Vec::new(),
            responses: Vec::new(),
            admitted: Vec::new(),
            lowered_at: None,
            deliveries: 1_000,
        }
    }

    /// Runs the model. Entries alternate between phases in which they hold their grants
    /// and phases in which they spend all that they can get.
    fn run(mut self) -> Self {
        let mut is_hoarding = true;
        for _ in 0..STEPS {
            let entry = self.random.random_range(0..ENTRIES);
            match self.random.random_range(0..100) {
                0..2 => is_hoarding = !is_hoarding,
                2 => self.advance(2_000),
                3..13 => self.advance(20),
                13..40 if is_hoarding && self.holds(entry) => {}
                13..40 => self.request(entry),
                40..60 => self.deliver_request(),
                60..80 => self.deliver_response(),
                80..85 => self.give_up(entry),
                85 if self.random.random_bool(0.05) => self.lower_limit(),
                _ if is_hoarding => {}
                _ => self.spend(entry),
            }
        }
        self
    }

    fn advance(&mut self, most_ms: u64) {
        let step = Duration::from_millis(self.random.random_range(0..most_ms));
        self.now = self.now + step;
    }

    fn clock(&self, entry: usize) -> MonotonicTime {
        self.now + self.entries[entry].offset
    }

    fn holds(&self, index: usize) -> bool {
        self.entries[index].allowance.usable(self.clock(index)) > RequestAmount::ZERO
    }

    fn request(&mut self, index: usize) {
        let now = self.clock(index);
        let waiting = self.random.random_range(0..8);
        let entry = &mut self.entries[index];
        let Some((_, mut request)) = entry.allowance.next_request(waiting, now) else {
            return;
        };
        entry.pending = request.sequence;
        if self.injected == InjectedFault::ReturnedButKept {
            request.held = RequestAmount::ZERO;
        }
        self.requests.push((index, request));
    }

    /// Picks the newest message in most cases, otherwise any earlier one.
    fn pick(&mut self, count: usize) -> Option<usize> {
        if count == 0 {
            return None;
        }
        let any = self.random.random_range(0..count);
        let is_newest = self.random.random_bool(0.8);
        Some(if is_newest { count - 1 } else { any })
    }

    fn deliver_request(&mut self) {
        let Some(picked) = self.pick(self.requests.len()) else {
            return;
        };
        let (entry, mut request) = self.requests[picked].clone();
        let sequence = request.sequence;
        if self.injected == InjectedFault::DuplicatesAccepted {
            self.deliveries += 1;
            request.sequence = self.deliveries;
        }
        if let Ok(response) = self.ledger.handle_request(&request, self.now) {
            self.responses.push((
                entry,
                LedgerResponse {
                    sequence,
                    ..response
                },
            ));
        }
    }

    fn deliver_response(&mut self) {
        let Some(picked) = self.pick(self.responses.len()) else {
            return;
        };
        let (index, mut response) = self.responses[picked];
        let now = self.clock(index);
        let entry = &mut self.entries[index];
        if self.injected == InjectedFault::LateResponseAccepted {
            response.sequence = entry.pending;
        }
        let before = entry.allowance.usable(now);
        entry.allowance.on_response(&zone(), &response, now);
        if entry.allowance.usable(now) > before {
            entry.clock_read = now;
        }
    }

    fn give_up(&mut self, index: usize) {
        let now = self.clock(index);
        let entry = &mut self.entries[index];
        entry.allowance.on_failure(&zone(), entry.pending, now);
    }

    fn lower_limit(&mut self) {
        self.ledger.set_limit(limit(LOW_BURST), self.now);
        self.lowered_at = self.lowered_at.or(Some(self.now));
    }

    fn spend(&mut self, index: usize) {
        let now = self.clock(index);
        let wanted = if self.random.random_bool(0.5) { 1 } else { 8 };
        let entry = &mut self.entries[index];
        let now = match self.injected {
            InjectedFault::ExpiryIgnored => entry.clock_read,
            _ => now,
        };
        for _ in 0..wanted {
            if entry.allowance.try_admit(now) == Admission::Admitted {
                self.admitted.push(self.now);
            }
        }
    }

    /// Returns whether more was admitted in any window than burst and rate allow.
    fn has_excess(&self) -> bool {
        let start = MonotonicTime::default();
        let lowered = self
            .lowered_at
            .map(|time| time + ShareLedger::max_grant_lifetime());
        self.has_excess_from(start, BURST)
            || lowered.is_some_and(|from| self.has_excess_from(from, LOW_BURST))
    }

    fn has_excess_from(&self, from: MonotonicTime, burst: u64) -> bool {
        let second = 1_000_000;
        let (mut level, mut last) = (0_u64, from);
        self.admitted
            .iter()
            .filter(|time| **time >= from)
            .any(|time| {
                let passed = time.as_micros() - last.as_micros();
                level = level.saturating_sub(passed * RATE) + second;
                last = *time;
                level > burst * second
            })
    }
}

fn is_detected(injected: InjectedFault) -> bool {
    (0..INJECTED_FAULT_RUNS).any(|seed| Model::new(seed, injected).run().has_excess())
}

proptest! {
    #![proptest_config(scaled_cases(100))]

    #[test]
    fn no_window_holds_more_than_burst_and_rate(seed in any::<u64>()) {
        prop_assert!(!Model::new(seed, InjectedFault::None).run().has_excess());
    }
}

#[test]
fn the_model_uses_the_budget() {
    let admitted: usize = (0..50)
        .map(|seed| Model::new(seed, InjectedFault::None).run().admitted.len())
        .sum();
    assert!(admitted > 50 * 10, "{admitted} admitted");
}

#[test]
fn each_mechanism_is_needed() {
    let injected = [
        InjectedFault::ExpiryIgnored,
        InjectedFault::ReturnedButKept,
        InjectedFault::DuplicatesAccepted,
        InjectedFault::LateResponseAccepted,
    ];
    let undetected: Vec<_> = injected
        .into_iter()
        .filter(|injected| !is_detected(*injected))
        .collect();
    assert!(undetected.is_empty(), "not found: {undetected:?}");
}
