//! Load, faults, history checks and reports.
//!
//! A run records every operation of its callers and every statement that the
//! targets ran, checks the rules that must always hold against both, and
//! prints a report.

pub mod check;
pub mod cli;
pub mod history;
pub mod load;
pub mod model;
pub mod plot;
pub mod report;
pub mod run;
pub mod slope;
pub mod trace;
