//! Tests of the decisions, by feature.

mod budget_entry;
mod budget_fixtures;
mod budget_fleet;
mod budget_lease;
mod budget_ledger;
mod budget_window;
mod budget_zone;
mod connection;
mod document;
mod drain;
mod failover;
mod gateway;
mod group;
mod key;
mod membership;
mod overload;
mod placement;
mod primacy;
mod queue;
mod replication;
mod retry;
mod routing;
mod safety;
mod spending;
mod units;
