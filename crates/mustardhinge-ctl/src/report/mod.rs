//! What commands print.

mod command_report;
mod text_table;

pub use command_report::CommandReport;
pub use text_table::TextTable;
