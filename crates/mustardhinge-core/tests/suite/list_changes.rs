//! Changes of a list of targets between its versions.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use mustardhinge_core::membership::{ListChanges, ListUpdate, ListVersion};
use mustardhinge_core::prelude::TargetId;
use mustardhinge_core::primary_lease::StoreEra;
use proptest::prelude::*;

/// Length of a list in which all changes of a test are few.
const LISTED: usize = 10_000;

fn name(index: usize) -> TargetId {
    format!("t-{index}").parse().unwrap()
}

fn version(era: u64, digest: u64) -> ListVersion {
    let era = StoreEra::new(era);
    ListVersion { era, digest }
}

/// Records a version for each of `digests`, with one change each.
fn after(digests: impl IntoIterator<Item = u64>) -> ListChanges {
    let mut changes = ListChanges::default();
    for digest in digests {
        changes.record(&name(digest as usize));
        changes.complete(version(0, digest));
    }
    changes
}

fn count(changes: &ListChanges, known: ListVersion) -> Option<usize> {
    match changes.update_since(&known, LISTED) {
        ListUpdate::Changes(names) => Some(names.len()),
        ListUpdate::Whole => None,
    }
}

/// Guards against changes that begin later than the requester's version, and against unbounded
/// memory of a responder whose list changes all the time.
#[test]
fn only_the_last_versions_have_changes() {
    let changes = after(0..=100);
    assert_eq!(count(&changes, version(0, 100)), Some(0));
    assert_eq!(count(&changes, version(0, 36)), Some(64));
    for digest in [0, 35, 101] {
        assert_eq!(count(&changes, version(0, digest)), None, "{digest}");
    }
}

/// Guards against versions that together, or alone, take much more than 256 kB.
#[test]
fn versions_with_many_changes_are_dropped_earlier() {
    let mut changes = after([0]);
    for digest in 1..=4 {
        (0..3_000).for_each(|index| changes.record(&name(index)));
        changes.complete(version(0, digest));
    }
    assert_eq!(count(&changes, version(0, 1)), None);
    assert_eq!(count(&changes, version(0, 2)), Some(3_000));
    (0..9_000).for_each(|index| changes.record(&name(index)));
    changes.complete(version(0, 5));
    assert_eq!(count(&changes, version(0, 4)), None);
    assert_eq!(count(&changes, version(0, 5)), Some(0));
}

/// Guards against changes across a restore of the store: a restored list may lack targets that the
/// requester has.
#[test]
fn a_new_era_begins_with_the_whole_list() {
    let mut changes = after([1, 2]);
    changes.complete(version(1, 3));
    for known in [version(0, 2), version(0, 3), version(1, 2)] {
        assert_eq!(count(&changes, known), None, "{known:?}");
    }
    assert_eq!(count(&changes, version(1, 3)), Some(0));
}

/// Guards against changes that are longer than the list, and a list that returns to an earlier
/// version.
#[test]
fn changes_are_sent_only_if_they_are_few() {
    let mut changes = after([1, 2, 3, 4, 5, 1]);
    let whole = changes.update_since(&version(0, 2), 7);
    assert_eq!(whole, ListUpdate::Whole);
    assert_eq!(count(&changes, version(0, 1)), Some(0));
    changes.record(&name(9));
    changes.complete(version(0, 6));
    assert_eq!(count(&changes, version(0, 1)), Some(1));
}

type List = BTreeMap<usize, u8>;

fn digest_of(list: &List) -> u64 {
    let mut hasher = DefaultHasher::new();
    list.hash(&mut hasher);
    hasher.finish()
}

proptest! {
    /// Guards against a change that is missing in the update for any earlier version: the requester
    /// would have another list than the responder.
    #[test]
    fn changes_lead_from_each_kept_version_to_the_present_one(
        steps in prop::collection::vec(
            prop::collection::vec((0_usize..6, prop::option::of(0_u8..3)), 0..4), 1..100),
    ) {
        let mut list = List::new();
        let mut changes = ListChanges::default();
        let mut earlier = Vec::new();
        for step in steps {
            for (index, value) in step {
                let before = match value {
                    Some(value) => list.insert(index, value),
                    None => list.remove(&index),
                };
                if before != value {
                    changes.record(&name(index));
                }
            }
            changes.complete(version(0, digest_of(&list)));
            earlier.push(list.clone());
        }
        for mut known in earlier {
            let update = changes.update_since(&version(0, digest_of(&known)), LISTED);
            let ListUpdate::Changes(names) = update else { continue };
            for index in (0..6).filter(|index| names.contains(&name(*index))) {
                match list.get(&index) {
                    Some(value) => known.insert(index, *value),
                    None => known.remove(&index),
                };
            }
            prop_assert_eq!(&known, &list);
        }
    }
}
