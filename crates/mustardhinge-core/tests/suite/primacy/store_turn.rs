//! Who reads the store when nobody says what is in it.

use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, MonotonicTime};
use mustardhinge_core::primacy::{DutyClaim, DutyStep, StoreTurn};

/// Pause after which an instance of a small fleet reads the record again, and the silence before.
const READ_EVERY: Duration = Duration::from_millis(400);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(millis * 1_000)
}

fn fleet(count: u64) -> Vec<DutyClaim> {
    let make = |index: u64| {
        let id: InstanceId = format!("i-{index}").parse().unwrap();
        let turn = StoreTurn::new(&id, 100 + index);
        let address = "127.0.0.1:7000".parse().unwrap();
        DutyClaim::new(id, 100 + index, address, 0).with_turn(turn, at(1_000))
    };
    (0..count).map(make).collect()
}

fn readers(fleet: &[DutyClaim], now: u64) -> usize {
    let reads = fleet
        .iter()
        .filter(|claim| claim.next_step(at(now)) == DutyStep::Read);
    reads.count()
}

/// Hundreds of instances are started in one moment: those that would read within the first
/// round trips are few, and all have read after a third of a second.
#[test]
fn a_mass_start_reads_by_and_by() {
    let fleet = fleet(295);
    assert!(readers(&fleet, 1_010) <= 25);
    assert!(readers(&fleet, 1_010) >= 1);
    assert_eq!(readers(&fleet, 1_300), 295);
}

/// The instance that others take for the holder doesn't wait for its turn.
#[test]
fn an_instance_that_is_asked_reads_at_once() {
    let mut fleet = fleet(20);
    let waits = |claim: &&mut DutyClaim| claim.next_step(at(1_000)) == DutyStep::Wait;
    let asked = fleet.iter_mut().find(waits).unwrap();
    asked.asked_for_holder();
    assert_eq!(asked.next_step(at(1_000)), DutyStep::Read);
}

/// A silent leader of hundreds: less than a third of them read in the second after the silence is
/// noticed, instead of each of them more than twice. A small fleet is as quick as ever.
#[test]
fn a_large_fleet_takes_turns_when_its_leader_is_silent() {
    assert_eq!(StoreTurn::stretch(7), 1);
    assert_eq!(StoreTurn::stretch(295), 5);
    let id: InstanceId = "i-1".parse().unwrap();
    let turn = StoreTurn::new(&id, 1);
    assert_eq!(turn.next_read(READ_EVERY, 7), Duration::ZERO);
    assert!(turn.watch(7).is_zero());
    let places = (0..295_u64).map(|index| {
        let id: InstanceId = format!("i-{index}").parse().unwrap();
        StoreTurn::new(&id, index)
    });
    let places: Vec<_> = places.collect();
    let early = |limit: u64| {
        let reads = places
            .iter()
            .filter(|turn| turn.next_read(READ_EVERY, 295) < Duration::from_millis(limit));
        reads.count()
    };
    assert!(early(1_000) < 200, "{}", early(1_000));
    assert!(early(100) > 5, "{}", early(100));
    let watching = places
        .iter()
        .filter(|turn| turn.watch(295) < Duration::from_millis(1_000));
    assert!(watching.count() < 180);
}
