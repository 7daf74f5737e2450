//! The command line that all long-running processes have.

mod process_args;

pub use process_args::{ProcessArgs, USAGE_EXIT_CODE};
