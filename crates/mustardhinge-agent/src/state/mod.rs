//! The state of the agent and notifications of its changes.

mod adopted_document;
mod document_check;
mod entry_presence;
mod group_table;
mod known_state;
mod proof_state;
mod shared_state;

pub(crate) use adopted_document::AdoptedDocument;
pub(crate) use entry_presence::EntryPresence;
pub(crate) use group_table::GroupTable;
pub(crate) use known_state::KnownState;
pub(crate) use proof_state::{ProofState, millis};
pub(crate) use shared_state::SharedState;
