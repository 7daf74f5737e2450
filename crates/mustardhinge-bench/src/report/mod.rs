//! The figures of a run, one JSON line each, and their comparison.

mod failover_gap;
mod figure_comparison;
mod figure_spread;
mod report_reader;
mod run_figures;
mod run_report;
mod share_figure;

pub use failover_gap::find_failover_gap;
pub use figure_comparison::FigureComparison;
pub use figure_spread::FigureSpread;
pub use report_reader::read_reports;
pub use run_figures::{CustomerFigures, RunFigures};
pub use run_report::RunReport;
pub use share_figure::divide_counts;
