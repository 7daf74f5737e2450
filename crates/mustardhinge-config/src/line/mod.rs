//! Finds the line of a byte or of a key path in a text.

mod line_index;
mod line_table;

pub use line_index::LineIndex;
pub(crate) use line_index::join_path;
pub use line_table::LineTable;
