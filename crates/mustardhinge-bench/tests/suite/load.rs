//! The plan of the load.

use std::collections::HashSet;
use std::time::Duration;

use mustardhinge_bench::load::{
    DeploymentName, DeploymentProfile, LoadPlanner, SessionPlan, surge_span,
};

const DURATION: Duration = Duration::from_secs(9);

fn plan(name: DeploymentName, seed: u64) -> Vec<SessionPlan> {
    let profile = DeploymentProfile::of(name);
    LoadPlanner::new(&profile, seed, DURATION).plan()
}

#[test]
fn the_same_seed_gives_the_same_load() {
    assert_eq!(
        plan(DeploymentName::Muscat, 7),
        plan(DeploymentName::Muscat, 7)
    );
    assert_ne!(
        plan(DeploymentName::Muscat, 7),
        plan(DeploymentName::Muscat, 8)
    );
}

#[test]
fn written_values_are_unique_within_a_run() {
    let plans = plan(DeploymentName::TaiwanNorth, 1);
    let mut values = HashSet::new();
    for operation in plans.iter().flat_map(|plan| &plan.operations) {
        if let Some(value) = operation.kind.written_value() {
            assert!(values.insert(value.to_owned()), "{value} is written twice");
        }
    }
    assert!(!values.is_empty());
}

#[test]
fn the_surge_goes_beyond_the_customers_rate() {
    let plans = plan(DeploymentName::Muscat, 3);
    let (start, end) = surge_span(DURATION);
    let count = |from: Duration, to: Duration| {
        plans
            .iter()
            .filter(|plan| {
                plan.customer
                    .as_ref()
                    .is_some_and(|id| id.as_str() == "customer-1")
            })
            .flat_map(|plan| &plan.operations)
            .filter(|operation| operation.due >= from && operation.due < to)
            .count()
    };
    assert!(count(start, end) > 2 * count(end, end + (end - start)));
}

#[test]
fn every_row_is_listed_once() {
    let plans = plan(DeploymentName::Muscat, 5);
    let rows = LoadPlanner::list_rows(&plans);
    let distinct: HashSet<_> = rows.iter().collect();
    assert_eq!(distinct.len(), rows.len());
    assert!(rows.iter().any(|(_, key)| key.ends_with("-from")));
}
