//! Request and response types of the operator API, which
//! `docs/OPERATOR-API.md` describes.

mod agent_status;
mod document_change;
mod document_update;
mod drain_request;
mod error_kind;
mod group_summary;
mod key_withdrawal;
mod operator_error;
mod peer_summary;
mod service_summary;
mod service_text;
mod switchover_request;
mod switchover_result;
mod target_summary;
mod update_result;

pub use agent_status::AgentStatus;
pub use document_change::DocumentChange;
pub use document_update::DocumentUpdate;
pub use drain_request::DrainRequest;
pub use error_kind::ErrorKind;
pub use group_summary::GroupSummary;
pub use key_withdrawal::KeyWithdrawal;
pub use operator_error::OperatorError;
pub use peer_summary::PeerSummary;
pub use service_summary::ServiceSummary;
pub use service_text::ServiceText;
pub use switchover_request::SwitchoverRequest;
pub use switchover_result::SwitchoverResult;
pub use target_summary::TargetSummary;
pub use update_result::UpdateResult;
