//! Callers' sessions: their statements admitted, placed, run and answered.

mod answer_log;
mod caller_channel;
mod caller_session;
mod floor_ask;
mod open_transaction;
mod primary_wait;
mod rate_admission;
mod read_path;
mod refusal_log;
mod request_sent;
mod session_access;
mod session_request;
mod session_values;
mod statement_execution;
mod statement_outcome;
mod target_probe;
mod transaction_path;
mod write_path;

pub use caller_session::CallerSession;
pub(crate) use floor_ask::await_floor;
pub use open_transaction::OpenTransaction;
pub use request_sent::RequestSent;
pub use session_access::SessionAccess;
pub use session_request::SessionRequest;
pub use session_values::SessionValues;
pub(crate) use statement_execution::{
    EpochGuard, ExecutionError, StatementExecution, TransactionStep, execute,
};
pub use statement_outcome::StatementOutcome;
pub use target_probe::ask_status;
pub(crate) use target_probe::watch_failure;
