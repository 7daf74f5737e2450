//! Tests of the bench, by feature.

mod builders;
mod planted_faults;
mod reports;
