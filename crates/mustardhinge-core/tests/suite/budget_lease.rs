use std::time::Duration;

use mustardhinge_core::budget::lease::{
    HolderId, LeaseManager, LeaseRecord, LeaseTerms, LeaseWrite,
};
use mustardhinge_core::prelude::*;

const TERMS: LeaseTerms = LeaseTerms {
    flexible: Duration::from_secs(10),
    floor: Duration::from_secs(100),
};

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn manager(name: &str) -> LeaseManager {
    let holder = HolderId {
        instance: name.parse().unwrap(),
        incarnation: 1,
    };
    LeaseManager::new(holder, TERMS)
}

/// The stored record.
#[derive(Default)]
struct LeaseStore(Option<(DocumentVersion, LeaseRecord)>);

impl LeaseStore {
    fn write(&mut self, write: &LeaseWrite) -> bool {
        let version = self
            .0
            .as_ref()
            .map_or(DocumentVersion::default(), |(v, _)| *v);
        if version == write.expected {
            self.0 = Some((version.next(), write.record.clone()));
        }
        version == write.expected
    }

    fn notify(&self, manager: &mut LeaseManager, now: MonotonicTime) {
        if let Some((version, record)) = &self.0 {
            manager.on_record(*version, record, now);
        }
    }

    /// Applies the write of a manager and lets it read the result.
    fn step(&mut self, manager: &mut LeaseManager, now: MonotonicTime) {
        if let Some(write) = manager.step(0, true, now) {
            self.write(&write);
        }
        self.notify(manager, now);
    }
}

fn flexible(manager: &LeaseManager, now: MonotonicTime) -> bool {
    let validity = manager.validity(now);
    validity.is_some_and(|validity| now < validity.flexible_until)
}

fn floor(manager: &LeaseManager, now: MonotonicTime) -> bool {
    let validity = manager.validity(now);
    validity.is_some_and(|validity| validity.floor_until.is_some_and(|end| now < end))
}

/// Returns a store in which `one` has held the share since 0 s, observed by `two` at
/// that time.
fn held_lease() -> (LeaseStore, LeaseManager, LeaseManager) {
    let (mut one, mut two) = (manager("one"), manager("two"));
    let mut store = LeaseStore::default();
    store.step(&mut one, at(0));
    store.notify(&mut two, at(0));
    (store, one, two)
}

#[test]
fn a_holder_stops_before_another_may_start() {
    let (mut store, one, mut two) = held_lease();
    assert!(flexible(&one, at(9)) && floor(&one, at(9)));
    store.step(&mut two, at(9));
    assert!(!flexible(&two, at(9)));
    assert!(!flexible(&one, at(10)));
    store.step(&mut two, at(10));
    assert!(flexible(&two, at(10)) && !floor(&two, at(10)));
}

#[test]
fn the_floor_outlasts_an_outage_of_the_store() {
    let (mut store, one, mut two) = held_lease();
    assert!(!flexible(&one, at(60)) && floor(&one, at(60)));
    store.step(&mut two, at(10));
    for second in (10..110).step_by(3) {
        store.step(&mut two, at(second));
    }
    assert!(!floor(&two, at(109)) && !floor(&one, at(109)));
    store.step(&mut two, at(110));
    assert!(floor(&two, at(110)));
}

#[test]
fn a_renewal_counts_from_its_sending() {
    let (mut store, mut one, mut two) = held_lease();
    let renewal = one.step(0, false, at(4)).unwrap();
    store.write(&renewal);
    store.notify(&mut two, at(5));
    store.notify(&mut one, at(8));
    assert!(flexible(&one, at(13)) && !flexible(&one, at(14)));
    store.step(&mut two, at(14));
    assert!(!flexible(&two, at(14)));
}

#[test]
fn a_replaced_holder_releases_its_floor() {
    let (mut store, mut one, mut two) = held_lease();
    store.step(&mut two, at(10));
    store.notify(&mut one, at(12));
    assert!(!floor(&one, at(12)));
    assert!(
        one.step(0, false, at(12)).is_none(),
        "grants are still outstanding"
    );
    store.step(&mut one, at(13));
    store.notify(&mut two, at(13));
    assert!(floor(&two, at(13)));
}

/// Both agents can write the assignment of the floor to the current holder. The later
/// writer must not mistake the other's write for its own renewal.
#[test]
fn the_same_change_by_another_is_no_renewal() {
    let (mut store, mut one, mut two) = held_lease();
    for second in 90..188 {
        store.step(&mut two, at(second));
    }
    store.notify(&mut one, at(188));
    store.step(&mut one, at(188));
    let late = two.step(0, false, at(190)).unwrap();
    assert_eq!(late.record.floor_epoch, late.record.epoch);
    assert!(!store.write(&late));
    store.notify(&mut two, at(190));
    // The last renewal was sent at 186 s.
    assert!(flexible(&two, at(195)) && !flexible(&two, at(196)));
}

#[test]
fn a_lost_response_is_resolved_by_reading() {
    let (mut store, mut one, _) = held_lease();
    let renewal = one.step(0, false, at(5)).unwrap();
    assert!(store.write(&renewal));
    // The response is lost; the same write is sent again and conflicts.
    let again = one.step(0, false, at(7)).unwrap();
    assert_eq!(again, renewal);
    assert!(!store.write(&again));
    store.notify(&mut one, at(7));
    assert!(flexible(&one, at(14)) && !flexible(&one, at(15)));
}

#[test]
fn a_released_share_is_free_at_once() {
    let (mut store, mut one, mut two) = held_lease();
    one.leave();
    assert!(one.validity(at(1)).is_none());
    assert!(
        one.step(0, false, at(1)).is_none(),
        "grants are still outstanding"
    );
    store.step(&mut one, at(2));
    store.notify(&mut two, at(2));
    store.step(&mut two, at(2));
    assert!(flexible(&two, at(2)) && floor(&two, at(2)));
}

#[test]
fn an_agent_that_restarts_holds_nothing() {
    let (mut store, _, _) = held_lease();
    let holder = HolderId {
        instance: "one".parse().unwrap(),
        incarnation: 2,
    };
    let mut restarted = LeaseManager::new(holder, TERMS);
    store.notify(&mut restarted, at(1));
    store.step(&mut restarted, at(1));
    assert!(restarted.validity(at(1)).is_none());
    store.step(&mut restarted, at(11));
    assert!(flexible(&restarted, at(11)) && !floor(&restarted, at(11)));
}

#[test]
fn an_agent_of_lower_rank_waits_longer() {
    let (_, _, mut two) = held_lease();
    let late = at(10) + Duration::from_millis(400);
    assert!(two.step(1, true, late).is_none());
    assert!(
        two.step(1, true, late + Duration::from_millis(100))
            .is_some()
    );
}

#[test]
fn an_operator_can_free_the_floor_of_an_instance_that_is_gone() {
    let (mut store, _, mut two) = held_lease();
    store.step(&mut two, at(10));
    assert!(!floor(&two, at(11)));
    let operator = HolderId {
        instance: "ctl".parse().unwrap(),
        incarnation: 1,
    };
    let (version, record) = store.0.clone().unwrap();
    assert!(store.write(&LeaseWrite {
        expected: version,
        record: record.with_floor_forced(&operator),
    }));
    store.notify(&mut two, at(12));
    assert!(floor(&two, at(12)));
}

/// The holder's clock runs 2.5 % slow and the other agent's 2.5 % fast. The leases
/// must not overlap.
#[test]
fn leases_do_not_overlap_despite_clock_skew() {
    let slow = |true_ms: u64| MonotonicTime::from_micros(true_ms * 975);
    let fast = |true_ms: u64| MonotonicTime::from_micros(true_ms * 1_025);
    let (mut store, one, mut two) = held_lease();
    let flexible_end = 9_757;
    store.step(&mut two, fast(flexible_end));
    assert!(flexible(&two, fast(flexible_end)) && !flexible(&one, slow(flexible_end)));
    let (mut store, one, mut two) = held_lease();
    let floor_end = 97_561;
    store.step(&mut two, fast(floor_end));
    assert!(floor(&two, fast(floor_end)) && !floor(&one, slow(floor_end)));
}
