//! Messages between agents of different instances.
//!
//! An exchange carries the state that one agent has and the other lacks. A few
//! revision numbers identify the known state, so its description costs the same
//! for any number of services and groups.

mod exchange_reply;
mod exchange_request;
mod instance_list;
mod peer_document;
mod peer_error;
mod primary_question;
mod store_outage;

pub use exchange_reply::ExchangeReply;
pub use exchange_request::{ExchangeRequest, PROTOCOL_VERSION};
pub use instance_list::{InstanceEntry, InstanceList};
pub use peer_document::PeerDocument;
pub use peer_error::PeerError;
pub use primary_question::{PrimaryAnswer, PrimaryQuestion};
pub use store_outage::StoreOutage;
