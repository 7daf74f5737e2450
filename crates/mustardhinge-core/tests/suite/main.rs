//! Tests of the decision logic, grouped by feature.

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
mod primary_lease;
mod queue;
mod rate_limit;
mod replication;
mod retry;
mod routing;
mod safety;
mod spread;
mod units;
