use std::fmt;

use super::DifferenceKind;
use super::list_difference::compare_lists;
use crate::document::{CustomerEntry, LimitEntry, RouteEntry, ServiceDocument, TargetEntry};

/// One place in which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentDifference {
    /// The path of the key, such as `customer[seeb].rate`.
    pub key_path: String,
    /// How it differs.
    pub kind: DifferenceKind,
}

impl DocumentDifference {
    pub(super) const fn new(key_path: String, kind: DifferenceKind) -> Self {
        Self { key_path, kind }
    }
}

impl fmt::Display for DocumentDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key_path, self.kind)
    }
}

/// Names every place in which `new` differs from `old`.
#[must_use]
pub fn find_differences(old: &ServiceDocument, new: &ServiceDocument) -> Vec<DocumentDifference> {
    let mut found = Vec::new();
    note_change("service", &old.service, &new.service, &mut found);
    note_change("group.name", &old.group.name, &new.group.name, &mut found);
    let targets = (&old.group.targets[..], &new.group.targets[..]);
    compare_lists(
        "group.target",
        targets,
        |t| &t.name,
        compare_targets,
        &mut found,
    );
    compare_limits(&old.limits, &new.limits, &mut found);
    let customers = (&old.customers[..], &new.customers[..]);
    compare_lists(
        "customer",
        customers,
        |c| &c.name,
        compare_customers,
        &mut found,
    );
    let routes = (&old.routes[..], &new.routes[..]);
    compare_lists("route", routes, |r| &r.name, compare_routes, &mut found);
    found
}

fn note_change<T: PartialEq>(path: &str, old: &T, new: &T, found: &mut Vec<DocumentDifference>) {
    if old != new {
        let path = path.to_owned();
        found.push(DocumentDifference::new(path, DifferenceKind::Changed));
    }
}

fn compare_targets(
    path: &str,
    old: &TargetEntry,
    new: &TargetEntry,
    found: &mut Vec<DocumentDifference>,
) {
    note_change(&format!("{path}.zone"), &old.zone, &new.zone, found);
    note_change(
        &format!("{path}.address"),
        &old.address,
        &new.address,
        found,
    );
    note_change(
        &format!("{path}.leaving"),
        &old.leaving,
        &new.leaving,
        found,
    );
}

fn compare_customers(
    path: &str,
    old: &CustomerEntry,
    new: &CustomerEntry,
    found: &mut Vec<DocumentDifference>,
) {
    note_change(&format!("{path}.rate"), &old.rate, &new.rate, found);
    note_change(&format!("{path}.burst"), &old.burst, &new.burst, found);
    note_change(&format!("{path}.keys"), &old.keys, &new.keys, found);
}

fn compare_routes(
    path: &str,
    old: &RouteEntry,
    new: &RouteEntry,
    found: &mut Vec<DocumentDifference>,
) {
    let age_path = format!("{path}.max_age_ms");
    note_change(&age_path, &old.max_age_ms, &new.max_age_ms, found);
    note_change(&format!("{path}.open"), &old.open, &new.open, found);
    let repeatable_path = format!("{path}.repeatable");
    note_change(&repeatable_path, &old.repeatable, &new.repeatable, found);
    let priority_path = format!("{path}.priority");
    note_change(&priority_path, &old.priority, &new.priority, found);
}

fn compare_limits(old: &LimitEntry, new: &LimitEntry, found: &mut Vec<DocumentDifference>) {
    let fields = [
        (
            "connections_per_target",
            old.connections_per_target,
            new.connections_per_target,
        ),
        (
            "slots_per_target",
            old.slots_per_target,
            new.slots_per_target,
        ),
        ("max_instances", old.max_instances, new.max_instances),
        (
            "max_statement_bytes",
            old.max_statement_bytes,
            new.max_statement_bytes,
        ),
        (
            "statement_deadline_ms",
            old.statement_deadline_ms,
            new.statement_deadline_ms,
        ),
        ("key_proof_ms", old.key_proof_ms, new.key_proof_ms),
        (
            "request_record_s",
            old.request_record_s,
            new.request_record_s,
        ),
        ("replica_wait_ms", old.replica_wait_ms, new.replica_wait_ms),
    ];
    for (name, old, new) in fields {
        note_change(&format!("limits.{name}"), &old, &new, found);
    }
}
