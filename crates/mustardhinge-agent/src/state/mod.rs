//! What the agent knows, and the signal that it has changed.

mod adopted_document;
mod group_table;
mod known_state;
mod shared_state;

pub(crate) use adopted_document::AdoptedDocument;
pub(crate) use group_table::GroupTable;
pub(crate) use known_state::KnownState;
pub(crate) use shared_state::SharedState;
