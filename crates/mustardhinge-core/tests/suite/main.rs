//! Tests of the decisions, by feature.

mod units;
