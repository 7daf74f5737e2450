//! The command line of `mustardhinge-bench`.

mod bench_command;
mod run_options;

pub use bench_command::{BenchCommand, HELP};
pub use run_options::RunOptions;
