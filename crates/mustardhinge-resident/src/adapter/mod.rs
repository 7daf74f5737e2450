//! Adapter traits for the wire protocol and the platform, and the types that they exchange.

mod caller_message;
mod caller_statement;
mod codec_error;
mod platform_client;
mod platform_error;
mod promotion_request;
mod proxy_statement;
mod session_codec;
mod session_refusal;
mod status_report;
mod target_fault;
mod target_message;
mod transaction_state;
mod watch_response;
mod write_outcome;

pub use caller_message::CallerMessage;
pub use caller_statement::CallerStatement;
pub use codec_error::CodecError;
pub use platform_client::PlatformClient;
pub use platform_error::PlatformError;
pub use promotion_request::{PromotionOutcome, PromotionRequest};
pub use proxy_statement::ProxyStatement;
pub use session_codec::SessionCodec;
pub use session_refusal::SessionRefusal;
pub use status_report::{ServerRole, StatusReport};
pub use target_fault::TargetFault;
pub use target_message::TargetMessage;
pub use transaction_state::TransactionState;
pub use watch_response::{ObjectChange, WatchResponse};
pub use write_outcome::WriteOutcome;
