//! The document that drives one service; its owners change it while traffic runs.

mod customer_entry;
mod difference;
pub mod edit;
mod group_entry;
mod limit_entry;
mod route_entry;
mod service_document;
mod target_entry;

pub use customer_entry::CustomerEntry;
pub use difference::{DifferenceKind, DocumentDifference, find_differences};
pub use group_entry::GroupEntry;
pub use limit_entry::LimitEntry;
pub use route_entry::RouteEntry;
pub use service_document::{MAX_DOCUMENT_BYTES, ServiceDocument};
pub use target_entry::TargetEntry;
