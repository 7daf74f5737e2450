//! Tests of the decisions, by feature.

mod group;
mod replication;
mod safety;
mod units;
