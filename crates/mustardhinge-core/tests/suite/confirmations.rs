//! Confirmations that copies of the store's content are current.

use std::time::Duration;

use mustardhinge_core::membership::{
    ConfirmationSource, ConfirmationTable, FeedRetry, QueryPacing, StorePart, WatchPacing,
};
use mustardhinge_core::prelude::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Guards against a copy that counts as current again because an older confirmation arrives late.
#[test]
fn an_older_confirmation_does_not_replace_a_later_one() {
    let mut table = ConfirmationTable::default();
    table.confirm(StorePart::Plan, at(5_000), ConfirmationSource::Store);
    table.confirm(StorePart::Plan, at(4_000), ConfirmationSource::Leader);
    let confirmation = table.of(StorePart::Plan);
    assert_eq!(confirmation.age(at(6_000)), Some(Duration::from_secs(1)));
    assert_eq!(confirmation.source(), ConfirmationSource::Store);
}

/// Guards against an instance that relies on others for ever after it adopted its first copy from one
/// of them, and against one that reads the store because it has no copy yet.
#[test]
fn a_first_copy_has_to_be_confirmed_in_time() {
    let mut table = ConfirmationTable::default();
    assert!(!table.is_expired(StorePart::Plan, at(60_000)));
    table.begin(StorePart::Plan, at(60_000));
    table.begin(StorePart::Plan, at(62_000));
    assert_eq!(table.ages(at(62_000)).plan, None);
    assert!(table.is_expired(StorePart::Plan, at(62_500)));
    // The leader was current before the copy was adopted, which counts from then on.
    table.confirm(StorePart::Plan, at(59_000), ConfirmationSource::Leader);
    assert_eq!(table.expires_at(StorePart::Plan), Some(at(61_500)));
}

/// Guards against a configuration that takes effect late although the store was read in time: the
/// limit has to leave time for the read.
#[test]
fn an_unconfirmed_copy_is_read_before_a_change_is_overdue() {
    let apply_time = Duration::from_secs(3);
    let read_time = Duration::from_millis(500);
    assert!(StorePart::Plan.max_unconfirmed() + read_time <= apply_time);
    let drain_time = Duration::from_secs(7);
    assert!(StorePart::Targets.max_unconfirmed() + read_time <= drain_time);
}

/// Guards against watches whose confirmations are too far apart for the instances that depend on them.
#[test]
fn watches_confirm_more_often_than_copies_expire() {
    for part in StorePart::ALL {
        let mut pacing = WatchPacing::new(part);
        let mut sent_at = at(10_000);
        let mut shown_until = sent_at;
        // Each response takes 300 ms longer than the watch waits, and every other one has changes
        // after which the next watch is sent with a delay of 500 ms.
        for number in 0..20 {
            let is_idle = number % 2 == 0;
            let now = sent_at + pacing.begin(false) + Duration::from_millis(300);
            assert!(now.saturating_since(shown_until) < part.max_unconfirmed());
            shown_until = pacing.record_response(is_idle, sent_at, now);
            assert!(shown_until <= now);
            let delay = if is_idle { 0 } else { 500 };
            sent_at = now + Duration::from_millis(delay);
        }
    }
}

/// Guards against a store that all instances of a large fleet query several times a second while it
/// is out.
#[test]
fn only_watchers_retry_quickly() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut retry = FeedRetry::default();
    let delays: Vec<_> = (0..8)
        .map(|_| retry.next_delay(false, &mut random))
        .collect();
    assert!(delays[0] <= Duration::from_millis(300));
    assert!(
        delays[5..]
            .iter()
            .all(|delay| *delay >= Duration::from_secs(1))
    );
    assert!(delays.iter().all(|delay| *delay <= Duration::from_secs(2)));
    retry.reset();
    assert!(retry.next_delay(false, &mut random) <= Duration::from_millis(300));
    assert_eq!(
        retry.next_delay(true, &mut random),
        Duration::from_millis(300)
    );
}

/// Guards against a relay that still waits on a silent watch when those that depend on it ask it, and
/// against instances that ask it too late to fetch a change from it in time.
#[test]
fn relays_read_before_they_are_asked_and_are_asked_before_a_change_is_overdue() {
    let read_time = Duration::from_millis(100);
    let fetch_time = Duration::from_millis(500);
    for part in StorePart::ALL {
        assert!(part.max_leader_age() + read_time <= part.query_age());
        assert!(part.query_age() + fetch_time <= part.max_unconfirmed());
    }
}

/// Guards against a relay that counts on a leader without the store because its own reads are young.
#[test]
fn own_reads_do_not_renew_the_confirmation_by_the_leader() {
    let mut table = ConfirmationTable::default();
    assert_eq!(table.leader_expires_at(StorePart::Plan), None);
    table.confirm(StorePart::Plan, at(1_000), ConfirmationSource::Leader);
    table.confirm(StorePart::Plan, at(5_000), ConfirmationSource::Store);
    table.confirm(StorePart::Plan, at(4_000), ConfirmationSource::Relay);
    assert_eq!(table.leader_expires_at(StorePart::Plan), Some(at(2_800)));
    table.confirm(StorePart::Plan, at(3_000), ConfirmationSource::Leader);
    assert_eq!(table.leader_expires_at(StorePart::Plan), Some(at(4_800)));
    assert_eq!(table.expires_at(StorePart::Plan), Some(at(7_500)));
}

/// Guards against a watch that was given up and is followed by one that waits as long for its
/// confirmation.
#[test]
fn a_watch_that_was_given_up_is_followed_by_a_poll() {
    let mut pacing = WatchPacing::new(StorePart::Plan);
    let long = pacing.begin(true);
    pacing.poll_next();
    let poll = pacing.begin(true);
    assert!(poll < Duration::from_millis(10) && long > StorePart::Plan.max_unconfirmed());
    assert!(pacing.record_response(true, at(5_000), at(5_020)) <= at(5_001));
    assert_eq!(pacing.begin(true), long);
}

/// Guards against queries while the copies are confirmed, and against a stream of them.
#[test]
fn queries_begin_when_a_copy_is_not_confirmed_and_keep_their_distance() {
    let mut table = ConfirmationTable::default();
    let mut pacing = QueryPacing::default();
    table.confirm(StorePart::Plan, at(10_000), ConfirmationSource::Leader);
    table.confirm(StorePart::Targets, at(9_000), ConfirmationSource::Leader);
    assert_eq!(pacing.next_at(&table), Some(at(12_000)));
    pacing.record_sent(at(12_000));
    assert_eq!(pacing.next_at(&table), Some(at(12_200)));
    table.confirm(StorePart::Plan, at(11_900), ConfirmationSource::Relay);
    assert_eq!(pacing.next_at(&table), Some(at(13_000)));
}
