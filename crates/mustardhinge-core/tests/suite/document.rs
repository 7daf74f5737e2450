use std::collections::BTreeMap;

use mustardhinge_core::document::{AdoptionOutcome, AdoptionTable, ConditionalUpdate, UpdateStep};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;

fn version(count: u64) -> DocumentVersion {
    DocumentVersion::new(count)
}

fn operation(name: &str) -> OperationId {
    name.parse().unwrap()
}

#[test]
fn peers_exchange_only_newer_versions() {
    let (one, two): (ServiceId, ServiceId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let mut table = AdoptionTable::default();
    table.offer(&one, version(3), ());
    let peer = BTreeMap::from([(one.clone(), version(2)), (two.clone(), version(9))]);
    assert_eq!(table.newer_than(&peer), vec![one]);
    assert_eq!(table.older_than(&peer), vec![two]);
}

#[test]
fn a_lost_response_is_resolved_by_the_operation_id() {
    let mut update = ConditionalUpdate::new(operation("mine"), version(4));
    assert_eq!(update.on_response_lost(), UpdateStep::Read);
    let found = Some((version(5), operation("mine")));
    let accepted = UpdateStep::Accepted {
        version: version(5),
    };
    assert_eq!(update.on_read(found), accepted);
    assert_eq!(update.on_conflict(version(5), operation("mine")), accepted);
}

#[test]
fn a_stale_read_resolves_nothing() {
    let mut update = ConditionalUpdate::new(operation("mine"), version(4));
    assert_eq!(update.on_response_lost(), UpdateStep::Read);
    let found = Some((version(3), operation("older")));
    assert_eq!(update.on_read(found), UpdateStep::Send);
    assert_eq!(update.on_read(None), UpdateStep::Send);
}

#[test]
fn a_conflict_names_the_winning_operation() {
    let update = ConditionalUpdate::new(operation("mine"), version(4));
    let conflict = UpdateStep::Conflict {
        version: version(5),
        operation: operation("theirs"),
    };
    assert_eq!(
        update.on_conflict(version(5), operation("theirs")),
        conflict
    );
}

#[test]
fn a_newer_update_after_a_lost_response_supersedes_it() {
    let mut update = ConditionalUpdate::new(operation("mine"), version(4));
    let _ = update.on_response_lost();
    let superseded = UpdateStep::Superseded {
        version: version(6),
        operation: operation("theirs"),
    };
    assert_eq!(
        update.on_read(Some((version(6), operation("theirs")))),
        superseded
    );
}

/// Runs an update against a store that loses requests and responses.
///
/// `losses` states for each attempt whether its request and its response are lost. A
/// conflicting update takes effect before the attempt `conflict_at`.
fn run_update(losses: &[(bool, bool)], conflict_at: usize) -> (UpdateStep, Vec<OperationId>) {
    let mut stored = (version(1), operation("first"));
    let mut history = Vec::new();
    let mut update = ConditionalUpdate::new(operation("mine"), version(1));
    let mut step = UpdateStep::Send;
    for attempt in 0.. {
        if attempt == conflict_at {
            stored = (stored.0.next(), operation("theirs"));
            history.push(stored.1.clone());
        }
        let (request_lost, response_lost) = losses.get(attempt).copied().unwrap_or_default();
        step = match step {
            UpdateStep::Send => {
                let applies = !request_lost && stored.0 == update.get_expected();
                let found = stored.clone();
                if applies {
                    stored = (stored.0.next(), update.get_operation().clone());
                    history.push(stored.1.clone());
                }
                match (request_lost || response_lost, applies) {
                    (true, _) => update.on_response_lost(),
                    (false, true) => update.on_accepted(stored.0),
                    (false, false) => update.on_conflict(found.0, found.1),
                }
            }
            UpdateStep::Read => update.on_read(Some(stored.clone())),
            end => return (end, history),
        };
    }
    unreachable!("the losses are finite");
}

proptest! {
    #[test]
    fn versions_only_grow(offers in prop::collection::vec(0_u64..20, 1..60)) {
        let service: ServiceId = "haulage".parse().unwrap();
        let mut table = AdoptionTable::default();
        let mut greatest = None;
        for offer in offers {
            let outcome = table.offer(&service, version(offer), offer);
            let is_newer = greatest < Some(offer);
            prop_assert_eq!(outcome == AdoptionOutcome::Adopted, is_newer);
            greatest = greatest.max(Some(offer));
            let known = table.get_document(&service).unwrap();
            prop_assert_eq!(Some(*known.document), greatest);
        }
    }

    #[test]
    fn the_outcome_matches_the_history_of_the_store(
        losses in prop::collection::vec((any::<bool>(), any::<bool>()), 0..8),
        conflict_at in 0_usize..12,
    ) {
        let (step, history) = run_update(&losses, conflict_at);
        let mine = history.iter().filter(|id| id.as_str() == "mine").count();
        prop_assert!(mine <= 1);
        match step {
            UpdateStep::Accepted { .. } => prop_assert_eq!(mine, 1),
            UpdateStep::Conflict { .. } => prop_assert_eq!(mine, 0),
            UpdateStep::Superseded { .. } => {
                prop_assert_eq!(history.last().map(OperationId::as_str), Some("theirs"));
            }
            step => prop_assert!(false, "unresolved: {:?}", step),
        }
    }
}
