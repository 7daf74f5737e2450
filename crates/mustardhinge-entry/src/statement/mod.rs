//! Classification of statements and their tags, read from the statement text.

mod statement_kind;
mod statement_scan;
mod statement_tag;

pub use statement_kind::StatementKind;
pub use statement_scan::StatementScan;
pub use statement_tag::StatementTag;
