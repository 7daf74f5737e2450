//! Tests of the decisions, by feature.

mod budget_fleet;
mod budget_lease;
mod budget_ledger;
mod budget_window;
mod budget_zone;
mod document;
mod drain;
mod key;
mod membership;
mod queue;
mod units;
