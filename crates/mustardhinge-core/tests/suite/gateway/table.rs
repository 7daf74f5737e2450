//! The gateway table: the updates that the leader sends, and how instances apply them.

use std::collections::BTreeMap;

use mustardhinge_core::gateway::{GatewayPair, GatewayTable, GatewayVersion, GatewayView};
use mustardhinge_core::prelude::TargetId;
use proptest::prelude::*;

fn pair(port: u16) -> GatewayPair {
    GatewayPair {
        first: format!("10.0.0.1:{}", 1_000 + port).parse().unwrap(),
        second: None,
    }
}

fn target(index: u16) -> TargetId {
    format!("t-{index}").parse().unwrap()
}

#[test]
fn no_update_is_sent_before_the_first_table_or_to_an_instance_that_is_up_to_date() {
    let mut table = GatewayTable::new(7);
    assert_eq!(table.update_since(GatewayVersion::default()), None);
    table.update(&BTreeMap::from([(target(1), pair(1))]));
    let update = table.update_since(GatewayVersion::default()).unwrap();
    assert!(update.is_whole);
    assert_eq!(table.update_since(update.version), None);
}

/// A new leader of a fleet with enough connections publishes an empty table. Guards against
/// instances that keep forwarding by the table of an earlier leader.
#[test]
fn an_empty_table_replaces_the_table_of_an_earlier_leader() {
    let mut before = GatewayTable::new(7);
    before.update(&BTreeMap::from([(target(1), pair(1))]));
    let mut view = GatewayView::default();
    view.apply(&before.update_since(view.version()).unwrap());
    assert_eq!(view.pair_of(&target(1)), Some(pair(1)));
    let mut after = GatewayTable::new(8);
    after.update(&BTreeMap::new());
    view.apply(&after.update_since(view.version()).unwrap());
    assert!(view.is_empty());
}

/// Only changes since the known version are sent.
#[test]
fn an_update_contains_only_changes() {
    let mut wanted: BTreeMap<_, _> = (0..60).map(|index| (target(index), pair(index))).collect();
    let mut table = GatewayTable::new(7);
    table.update(&wanted);
    let known = table.version().unwrap();
    wanted.insert(target(3), pair(99));
    wanted.remove(&target(4));
    table.update(&wanted);
    let update = table.update_since(known).unwrap();
    assert!(!update.is_whole);
    assert_eq!(
        update.changes,
        vec![(target(3), Some(pair(99))), (target(4), None)]
    );
}

/// An instance ignores an incremental update if it does not have the table of the same leader.
#[test]
fn an_incremental_update_applies_only_to_the_table_of_the_same_leader() {
    let mut view = GatewayView::default();
    let mut table = GatewayTable::new(9);
    table.update(&BTreeMap::from([(target(1), pair(1))]));
    let known = table.version().unwrap();
    table.update(&BTreeMap::from([(target(1), pair(2))]));
    let change = table.update_since(known).unwrap();
    assert!(!view.apply(&change));
    assert!(view.is_empty());
}

proptest! {
    /// However datagrams are lost, duplicated or reordered, an instance never returns to an
    /// earlier version, and has the leader's table after one last update.
    #[test]
    fn views_converge_to_the_table(
        steps in prop::collection::vec((0_u16..12, 0_u16..9, 0_u8..4, any::<prop::sample::Index>()), 1..60),
    ) {
        let mut wanted = BTreeMap::new();
        let mut fence = 1;
        let mut table = GatewayTable::new(fence);
        let mut view = GatewayView::default();
        let mut sent = Vec::new();
        for (index, port, kind, pick) in steps {
            match kind {
                0 => {
                    fence += 1;
                    table = GatewayTable::new(fence);
                }
                1 => {
                    wanted.remove(&target(index));
                }
                _ => {
                    wanted.insert(target(index), pair(port));
                }
            }
            table.update(&wanted);
            sent.extend(table.update_since(view.version()));
            if !sent.is_empty() {
                let before = view.version();
                let update = sent[pick.index(sent.len())].clone();
                view.apply(&update);
                prop_assert!(view.version() >= before);
            }
        }
        if let Some(update) = table.update_since(view.version()) {
            view.apply(&update);
        }
        prop_assert_eq!(view.len(), wanted.len());
        for (target, pair) in &wanted {
            prop_assert_eq!(view.pair_of(target), Some(*pair));
        }
    }
}
