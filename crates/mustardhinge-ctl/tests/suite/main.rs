//! Tests of the operators' command line, by feature.

mod command_line;
mod documents;
mod explain;
mod keys;
mod lost_answers;
mod operations;
mod process_fleet;
mod processes;
mod scaffold;
