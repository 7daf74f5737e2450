//! Names what differs between two documents, without showing keys.

mod difference_kind;
mod document_difference;
mod list_difference;

pub use difference_kind::DifferenceKind;
pub use document_difference::{DocumentDifference, find_differences};
