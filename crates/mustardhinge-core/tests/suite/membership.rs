use std::time::Duration;

use mustardhinge_core::membership::{
    InstanceRoster, InstanceState, ListFetchBackoff, MemberEntry, MembershipView, RelayCandidate,
    RelayChoice, RosterEntry, choose_ranked,
};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;

const FAILURE_TTL: Duration = Duration::from_secs(5);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn instances(count: usize) -> Vec<InstanceId> {
    let name = |index| format!("i-{index}").parse().unwrap();
    (0..count).map(name).collect()
}

fn member(state: InstanceState) -> MemberEntry {
    MemberEntry {
        zone: "a".parse().unwrap(),
        state,
    }
}

fn usable(view: &MembershipView, now: MonotonicTime) -> Vec<String> {
    let zone = "a".parse().unwrap();
    let usable = view.usable_in(&zone, now);
    usable.map(ToString::to_string).collect()
}

#[test]
fn failed_and_leaving_members_are_skipped() {
    let [one, two, three]: [InstanceId; 3] = instances(3).try_into().unwrap();
    let mut view = MembershipView::new(FAILURE_TTL);
    let live = member(InstanceState::Live);
    let leaving = member(InstanceState::Leaving);
    view.on_list(
        2,
        [
            (one.clone(), live.clone()),
            (two.clone(), live),
            (three, leaving),
        ],
    );
    view.on_failure(&one, at(1_000));
    assert_eq!(usable(&view, at(1_001)), ["i-1"]);
    assert_eq!(usable(&view, at(6_000)), ["i-0", "i-1"]);
    view.on_failure(&one, at(6_000));
    view.on_answer(&one);
    assert_eq!(usable(&view, at(6_001)), ["i-0", "i-1"]);
}

#[test]
fn an_older_list_is_ignored() {
    let [one]: [InstanceId; 1] = instances(1).try_into().unwrap();
    let mut view = MembershipView::new(FAILURE_TTL);
    assert!(view.on_list(5, [(one.clone(), member(InstanceState::Leaving))]));
    assert!(!view.on_list(4, [(one, member(InstanceState::Live))]));
    assert_eq!(view.usable(at(0)).count(), 0);
}

#[test]
fn choices_spread_over_the_members() {
    let members = instances(10);
    let mut counts = [0_usize; 10];
    for key in 0..10_000_u32 {
        let chosen = choose_ranked(&key.to_be_bytes(), &members, 1)[0];
        let index = members.iter().position(|member| member == chosen).unwrap();
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

proptest! {
    /// Removing a member must not change the order of the other chosen members: otherwise
    /// keys would move between members that stay.
    #[test]
    fn removing_a_member_moves_only_its_own_keys(
        count in 2_usize..20,
        removed in any::<prop::sample::Index>(),
        key in any::<[u8; 8]>(),
        ranks in 1_usize..4,
    ) {
        let members = instances(count);
        let removed = removed.get(&members);
        let before = choose_ranked(&key, &members, ranks);
        let rest: Vec<_> = members.iter().filter(|member| *member != removed).cloned().collect();
        let after = choose_ranked(&key, &rest, ranks);
        let kept: Vec<_> = before.into_iter().filter(|member| *member != removed).collect();
        prop_assert_eq!(&after[..kept.len()], &kept[..]);
    }

    #[test]
    fn the_order_of_the_members_does_not_matter(
        members in Just(instances(12)).prop_shuffle(),
        key in any::<[u8; 4]>(),
    ) {
        let sorted = instances(12);
        prop_assert_eq!(choose_ranked(&key, &members, 3), choose_ranked(&key, &sorted, 3));
    }
}

/// With four zones of twenty instances each, only one instance per zone watches the store, so that
/// calls to the store do not grow with the fleet. A relay that is unresponsive or can't relay is
/// replaced.
#[test]
fn one_relay_is_chosen_per_zone() {
    let now = at(10_000);
    let mut known = Vec::new();
    for zone in ["a", "b", "c", "d"] {
        for index in 0..20 {
            let id: InstanceId = format!("i-{zone}-{index:02}").parse().unwrap();
            known.push((id, zone.parse::<ZoneId>().unwrap(), now, true));
        }
    }
    let leader: InstanceId = "i-b-07".parse().unwrap();
    let watchers = |known: &[(InstanceId, ZoneId, MonotonicTime, bool)]| -> Vec<String> {
        let candidates =
            known.iter().map(
                |(instance, zone, last_received_at, can_relay)| RelayCandidate {
                    instance,
                    zone,
                    last_received_at: *last_received_at,
                    can_relay: *can_relay,
                    is_leader: *instance == leader,
                },
            );
        let relays = RelayChoice::choose(candidates, now);
        let own = known.iter().filter(|(instance, zone, _, _)| {
            relays.get(zone).is_none_or(|relay| *relay == instance)
        });
        own.map(|(instance, _, _, _)| instance.to_string())
            .collect()
    };
    assert_eq!(watchers(&known), ["i-a-00", "i-b-07", "i-c-00", "i-d-00"]);
    known[0].2 = at(8_000);
    known[40].3 = false;
    // An unresponsive relay, and one that can't relay, are replaced by the next instance.
    assert_eq!(watchers(&known), ["i-a-01", "i-b-07", "i-c-01", "i-d-00"]);
    // Without a usable candidate, all instances of a zone watch the store themselves.
    for instance in &mut known[60..] {
        instance.3 = false;
    }
    assert_eq!(watchers(&known).len(), 3 + 20);
}

fn entry(zone: &str, last_received_at: MonotonicTime) -> RosterEntry {
    RosterEntry {
        address: "127.0.0.1:4000".parse().unwrap(),
        zone: zone.parse().unwrap(),
        can_relay: true,
        weight: 100,
        incarnation: 1,
        last_received_at,
    }
}

/// Returns the minimum time of 20 batches of a thousand requests among `count` instances.
fn time_of_requests(count: u64) -> std::time::Duration {
    let mut roster = InstanceRoster::default();
    let ids = instances(usize::try_from(count).unwrap());
    let zone: ZoneId = "a".parse().unwrap();
    for id in &ids {
        roster.record(id, entry("a", at(0)));
    }
    let batches = (1..=20).map(|batch| {
        let begin = std::time::Instant::now();
        for index in 0..1_000 {
            let id = &ids[index % ids.len()];
            roster.record(id, entry("a", at(batch)));
            roster.refresh(&ids[0], at(batch));
            assert!(roster.index_of(id) < roster.count());
            assert_eq!(roster.relay_for(id, &zone).is_none(), *id == ids[0]);
        }
        begin.elapsed()
    });
    batches.min().unwrap()
}

/// All instances send requests to the leader, so the cost of a response must not grow with the
/// number of instances.
#[test]
fn request_cost_does_not_grow_with_the_number_of_instances() {
    let few = time_of_requests(30);
    let many = time_of_requests(3_000);
    assert!(many < 10 * few, "30 instances {few:?}, 3,000 {many:?}");
}

/// A new instance counts at once. One that has stopped counts until its entry expires, so that a
/// restart does not change the number of instances.
#[test]
fn the_roster_adds_new_instances_and_drops_expired_ones() {
    let mut roster = InstanceRoster::default();
    let ids = instances(3);
    for id in &ids[..2] {
        roster.record(id, entry("a", at(0)));
    }
    roster.refresh(&ids[0], at(0));
    assert_eq!(roster.count(), 2);
    roster.record(&ids[2], entry("b", at(1)));
    roster.refresh(&ids[0], at(1));
    assert_eq!(roster.count(), 3);
    assert_eq!(roster.index_of(&ids[2]), 2);
    let zone: ZoneId = "a".parse().unwrap();
    assert!(roster.relay_for(&ids[1], &zone).is_some());
    roster.record(&ids[1], entry("a", at(14_900)));
    roster.refresh(&ids[0], at(15_100));
    assert_eq!(roster.count(), 1);
    assert_eq!(roster.relay_for(&ids[1], &zone), None);
}

/// The interval doubles while the list stays the same, and is reset when the list has changed.
#[test]
fn fetches_of_an_unchanged_list_back_off() {
    let mut backoff = ListFetchBackoff::default();
    let fetched: Vec<u64> = (0..200_u64)
        .map(|step| 1_000 + step * 50)
        .filter(|now| backoff.should_fetch(7, at(*now)))
        .collect();
    assert_eq!(fetched, [1_000, 1_500, 2_500, 4_500, 6_500, 8_500, 10_500]);
    assert!(!backoff.should_fetch(8, at(10_600)));
    assert!(backoff.should_fetch(8, at(12_500)));
    assert!(
        backoff.should_fetch(9, at(13_000)),
        "a changed list resets the backoff"
    );
}

/// Guards against a share pool that is lost together with the leader, when it is needed.
#[test]
fn the_leader_keeps_the_share_pool_only_if_it_is_alone() {
    let mut roster = InstanceRoster::default();
    let ids = instances(3);
    let zone: ZoneId = "a".parse().unwrap();
    roster.record(&ids[0], entry("a", at(0)));
    roster.refresh(&ids[0], at(0));
    assert_eq!(roster.pool_keeper_for(&ids[0], &zone), None);
    for id in &ids {
        roster.record(id, entry("a", at(100)));
    }
    roster.refresh(&ids[0], at(100));
    let keeps = |id| roster.pool_keeper_for(id, &zone).is_none();
    assert!(!keeps(&ids[0]) && keeps(&ids[1]) && !keeps(&ids[2]));
}
