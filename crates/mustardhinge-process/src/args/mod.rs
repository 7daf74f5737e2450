//! Command line shared by all long-running processes.

mod process_args;

pub use process_args::{ProcessArgs, USAGE_EXIT_CODE};
