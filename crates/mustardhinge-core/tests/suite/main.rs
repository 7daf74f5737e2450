//! Tests of the decisions, by feature.

mod budget_ledger;
mod document;
mod drain;
mod key;
mod membership;
mod queue;
mod units;
