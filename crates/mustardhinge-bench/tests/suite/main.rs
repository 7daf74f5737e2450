//! Tests of the bench, by feature.

mod builders;
mod command_line;
mod load;
mod planted_faults;
mod policies;
mod reports;
mod traces;
mod whole_run;
