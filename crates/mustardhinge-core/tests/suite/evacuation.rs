//! Evacuated availability zones and the use of their targets.

use std::time::Duration;

use mustardhinge_core::evacuation::{EvacuatedZones, TargetUse};
use mustardhinge_core::prelude::{MonotonicTime, ZoneId};
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn revision(number: u64) -> RecordRevision {
    RecordRevision::new(StoreEra::default(), number)
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_millis(millis)
}

/// Guards against a later deadline on an instance that hears of an evacuation from another one.
#[test]
fn the_earliest_knowledge_of_a_zone_counts() {
    let mut zones = EvacuatedZones::default();
    assert!(zones.put(zone("north"), at(900)));
    zones.advance(revision(4));
    assert!(!zones.adopt([(zone("north"), at(100))], revision(5), at(900)));
    assert_eq!(zones.since(&zone("north")), Some(at(100)));
    assert!(!zones.put(zone("north"), at(2_000)));
    assert_eq!(zones.since(&zone("north")), Some(at(100)));
}

/// Guards against an evacuation that comes back with an older list, or is lost with it.
#[test]
fn an_older_set_changes_nothing() {
    let mut zones = EvacuatedZones::default();
    zones.adopt([(zone("north"), at(0))], revision(9), at(0));
    assert!(!zones.adopt([], revision(8), at(0)));
    assert!(zones.since(&zone("north")).is_some());
    assert!(zones.remove(&zone("north")));
    zones.advance(revision(10));
    assert!(!zones.adopt([(zone("north"), at(0))], revision(9), at(0)));
    assert_eq!(
        zones.target_use(&zone("north"), at(9_000)),
        TargetUse::Usable
    );
}

/// Guards against fetches between instances that have the same set at different revisions.
#[test]
fn versions_of_equal_sets_are_not_newer() {
    let set = |names: &[&str], number| {
        let mut zones = EvacuatedZones::default();
        let named = names.iter().map(|name| (zone(name), at(0)));
        zones.adopt(named, revision(number), at(0));
        zones.version()
    };
    assert!(!set(&[], 9).is_newer_than(&set(&[], 3)));
    assert!(!set(&["north"], 9).is_newer_than(&set(&["north"], 3)));
    assert!(set(&["north"], 9).is_newer_than(&set(&[], 3)));
    assert!(set(&[], 9).is_newer_than(&set(&["north"], 3)));
    assert!(set(&["north", "south"], 9).is_newer_than(&set(&["north"], 3)));
    assert!(!set(&["south"], 2).is_newer_than(&set(&["north"], 3)));
}

/// Guards against a statement at an evacuated target once the time for handing over is up, and
/// against refusals before that.
#[test]
fn a_target_is_vacated_for_a_while_and_then_evacuated() {
    let since = MonotonicTime::default() + Duration::from_secs(10);
    let after = |millis| TargetUse::at(Some(since), since + Duration::from_millis(millis));
    assert_eq!(TargetUse::at(None, since), TargetUse::Usable);
    assert_eq!(after(0), TargetUse::Vacating);
    assert_eq!(after(2_999), TargetUse::Vacating);
    assert_eq!(after(3_000), TargetUse::Evacuated);
    assert_eq!(after(3_600_000), TargetUse::Evacuated);
    assert!(after(0).is_restricted() && !after(0).is_evacuated());
}

/// Guards against work that returns to an evacuated zone because the store came back from a copy
/// older than the evacuation, and against an evacuation that never ends there.
#[test]
fn an_evacuation_missing_from_a_copy_ends_after_a_while() {
    let restored = |number| RecordRevision::new(StoreEra::new(1), number);
    let missing = || {
        let mut zones = EvacuatedZones::default();
        zones.adopt([(zone("north"), at(0))], revision(9), at(0));
        assert!(!zones.adopt([], restored(3), at(10_000)), "still in force");
        zones
    };
    let mut zones = missing();
    assert!(!zones.adopt([], restored(4), at(11_000)), "the same era");
    assert!(!zones.expire_missing(at(12_499)));
    assert!(zones.target_use(&zone("north"), at(12_499)).is_evacuated());
    assert_eq!(zones.version().digest, 0, "others take the store's list");
    assert!(zones.expire_missing(at(12_500)));
    assert_eq!(zones.since(&zone("north")), None);
    // Written again: evacuated without a break, and then for good.
    let mut zones = missing();
    assert!(!zones.put(zone("north"), at(12_000)));
    assert!(!zones.expire_missing(at(20_000)));
    assert_eq!(zones.since(&zone("north")), Some(at(0)));
    // Listed again, removed, and a failed call meanwhile.
    let mut zones = missing();
    assert!(!zones.adopt([(zone("north"), at(12_000))], restored(5), at(12_000)));
    assert_eq!(zones.since(&zone("north")), Some(at(0)));
    let mut zones = missing();
    assert!(zones.remove(&zone("north")));
    let mut zones = missing();
    zones.restart_missing(at(12_000));
    assert!(!zones.expire_missing(at(14_499)));
    // A second restore.
    let mut zones = missing();
    let second = RecordRevision::new(StoreEra::new(2), 1);
    assert!(!zones.adopt([], second, at(12_000)));
    assert!(!zones.expire_missing(at(14_499)));
}

/// Guards against a follower that uses a zone again while its relay, which is one propagation delay
/// ahead, knows already that the evacuation was written again.
#[test]
fn a_follower_keeps_a_missing_evacuation_until_it_hears_of_its_return() {
    let restored = |number| RecordRevision::new(StoreEra::new(1), number);
    let (mut relay, mut follower) = (EvacuatedZones::default(), EvacuatedZones::default());
    relay.adopt([(zone("north"), at(0))], revision(9), at(0));
    follower.adopt_relayed([(zone("north"), at(0))], revision(9), at(0));
    relay.adopt([], restored(3), at(10_000));
    follower.adopt_relayed([], restored(3), at(10_000));
    // Written again 2 s later; the follower hears of it 900 ms after its relay.
    relay.put(zone("north"), at(12_000));
    relay.advance(restored(4));
    assert!(!relay.expire_missing(at(12_900)) && !follower.expire_missing(at(12_900)));
    let listed: Vec<_> = relay.iter().map(|(zone, at)| (zone.clone(), at)).collect();
    assert!(!follower.adopt_relayed(listed, restored(4), at(12_900)));
    assert!(!follower.expire_missing(at(20_000)));
    // Without a return it ends.
    follower.adopt_relayed([], RecordRevision::new(StoreEra::new(2), 1), at(30_000));
    assert!(!follower.expire_missing(at(33_900)) && follower.expire_missing(at(34_000)));
}
