//! Requests of callers: decoding, planning for a target connection, relay of the
//! response.

mod batch_plan;
mod caller_request;
mod hold_mode;
mod prepared_statement;
mod relay_error;
mod reply_end;
mod reply_relay;
mod reply_step;
mod request_record;
mod statement_cache;

pub use batch_plan::{BatchPlan, PlannedFrame};
pub use caller_request::CallerRequest;
pub use hold_mode::HoldMode;
pub use prepared_statement::PreparedStatement;
pub use relay_error::RelayError;
pub use reply_end::ReplyEnd;
pub use reply_relay::ReplyRelay;
pub(crate) use reply_relay::position_in;
pub use reply_step::ReplyStep;
pub use request_record::RequestRecord;
pub use statement_cache::StatementCache;
