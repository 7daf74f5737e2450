//! Pictures of a run's history, as SVG files.

mod chart_file;
mod history_charts;
mod policy_charts;

pub use chart_file::{ChartLine, ChartPage};
pub use history_charts::plot_history;
pub use policy_charts::plot_policies;
