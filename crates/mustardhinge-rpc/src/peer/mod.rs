//! What agents of different instances say to each other.
//!
//! An exchange carries what one agent knows and the other does not: what is
//! known is named by a few numbers, so that it costs the same however many
//! services and groups there are.

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
