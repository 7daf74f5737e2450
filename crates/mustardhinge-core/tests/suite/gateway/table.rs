//! The table of gateways: what the leader sends, and what instances know after it.

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
fn nothing_is_told_before_the_first_table_and_to_those_who_know_all() {
    let mut table = GatewayTable::new(7);
    assert_eq!(table.update_since(GatewayVersion::default()), None);
    table.update(&BTreeMap::from([(target(1), pair(1))]));
    let news = table.update_since(GatewayVersion::default()).unwrap();
    assert!(news.is_whole);
    assert_eq!(table.update_since(news.version), None);
}

/// A fleet with enough connections of its own forwards nothing, also if another leader's table
/// said otherwise.
#[test]
fn an_empty_table_ends_what_an_earlier_leader_said() {
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

/// Only what changed since the known table is sent.
#[test]
fn a_change_is_small() {
    let mut wanted: BTreeMap<_, _> = (0..60).map(|index| (target(index), pair(index))).collect();
    let mut table = GatewayTable::new(7);
    table.update(&wanted);
    let known = table.version().unwrap();
    wanted.insert(target(3), pair(99));
    wanted.remove(&target(4));
    table.update(&wanted);
    let news = table.update_since(known).unwrap();
    assert!(!news.is_whole);
    assert_eq!(
        news.changes,
        vec![(target(3), Some(pair(99))), (target(4), None)]
    );
}

/// A change by another leader means nothing to an instance that knows an earlier one's table.
#[test]
fn changes_of_a_leader_build_on_its_own_table() {
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
    /// Whatever datagrams are lost, repeated or overtaken, an instance that gets one last answer
    /// knows the leader's table, and it never goes back to an earlier one.
    #[test]
    fn views_follow_tables(
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
                let news = sent[pick.index(sent.len())].clone();
                view.apply(&news);
                prop_assert!(view.version() >= before);
            }
        }
        if let Some(news) = table.update_since(view.version()) {
            view.apply(&news);
        }
        prop_assert_eq!(view.len(), wanted.len());
        for (target, pair) in &wanted {
            prop_assert_eq!(view.pair_of(target), Some(*pair));
        }
    }
}
