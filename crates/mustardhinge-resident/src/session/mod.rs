//! Caller sessions: admission, placement and execution of their statements.

mod caller_channel;
mod caller_session;
mod checked_access;
mod last_attempt;
mod open_transaction;
mod position_context;
mod primary_decision;
mod primary_wait;
mod rate_admission;
mod read_candidates;
mod read_floor;
mod read_path;
mod refusal_log;
mod response_log;
mod retry_gate;
mod retry_spread;
mod session_access;
mod session_request;
mod session_values;
mod statement_execution;
mod statement_response;
mod target_probe;
mod transaction_path;
mod unfinished_statement;
mod write_path;

pub use caller_session::CallerSession;
pub use checked_access::CheckedAccess;
pub use last_attempt::LastAttempt;
pub use open_transaction::OpenTransaction;
pub(crate) use primary_decision::PrimaryDecision;
pub(crate) use primary_wait::{
    EVACUATED_RETRY_AFTER, OUTSIDE_HOME_RETRY_AFTER, decide_primary, refusal_without_target,
};
pub(crate) use rate_admission::decide_wait;
pub(crate) use read_candidates::{plain_candidates, spread_candidates, usable_targets};
pub(crate) use read_floor::await_floor;
pub(crate) use read_path::{BUSY_RETRY_AFTER, FLOOR_RETRY_AFTER, STALENESS_MARGIN};
pub use session_access::SessionAccess;
pub use session_request::SessionRequest;
pub use session_values::SessionValues;
pub(crate) use statement_execution::{
    EpochGuard, ExecutionError, StatementExecution, TransactionStep, execute,
};
pub use statement_response::StatementResponse;
pub(crate) use target_probe::probe_if_failing;
pub use target_probe::request_status;
