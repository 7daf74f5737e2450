//! Tests of the decisions, by feature.

mod budget_ledger;
mod document;
mod drain;
mod group;
mod key;
mod membership;
mod queue;
mod replication;
mod safety;
mod units;
