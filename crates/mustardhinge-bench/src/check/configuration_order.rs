use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mustardhinge_core::prelude::*;

use super::{RuleName, RuleViolation};
use crate::history::{AcceptedUpdate, RunHistory};

/// The time within which an accepted version is in force everywhere.
const ADOPTION_BOUND: Duration = Duration::from_secs(3);

/// Finds versions that went back on an instance, that two updates were given,
/// or that did not come into force everywhere in time.
#[must_use]
pub fn check_configuration_order(history: &RunHistory) -> Vec<RuleViolation> {
    let mut violations = find_reverts(history);
    violations.extend(find_shared_versions(&history.updates));
    violations.extend(find_late_adoptions(history));
    violations
}

fn violation(evidence: String) -> RuleViolation {
    RuleViolation::new(RuleName::ConfigurationOrder, evidence)
}

fn find_reverts(history: &RunHistory) -> Vec<RuleViolation> {
    let mut newest: BTreeMap<(&ServiceId, &InstanceId), DocumentVersion> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in &history.sightings {
        let known = newest
            .entry((&seen.service, &seen.instance))
            .or_insert(seen.version);
        if seen.version < *known {
            violations.push(violation(format!(
                "{} went from version {known} of {} back to {} at {}",
                seen.instance, seen.service, seen.version, seen.at
            )));
        }
        *known = seen.version.max(*known);
    }
    violations
}

fn find_shared_versions(updates: &[AcceptedUpdate]) -> Vec<RuleViolation> {
    let mut operations: BTreeMap<_, &str> = BTreeMap::new();
    updates
        .iter()
        .filter_map(|update| {
            let version = (&update.service, update.version);
            let first = *operations.entry(version).or_insert(&update.operation);
            (first != update.operation).then(|| {
                violation(format!(
                    "version {} of {} was given to {first} and to {}",
                    update.version, update.service, update.operation
                ))
            })
        })
        .collect()
}

fn find_late_adoptions(history: &RunHistory) -> Vec<RuleViolation> {
    let instances: BTreeSet<_> = history
        .sightings
        .iter()
        .map(|seen| &seen.instance)
        .collect();
    let mut violations = Vec::new();
    for update in &history.updates {
        for instance in &instances {
            let is_adopted = history.sightings.iter().any(|seen| {
                seen.instance == **instance
                    && seen.service == update.service
                    && seen.version >= update.version
                    && seen.at <= update.at + ADOPTION_BOUND
            });
            if !is_adopted {
                violations.push(violation(format!(
                    "version {} of {}, accepted at {}, was not in force on {instance} in time",
                    update.version, update.service, update.at
                )));
            }
        }
    }
    violations
}
