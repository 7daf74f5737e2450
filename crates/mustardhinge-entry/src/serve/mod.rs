//! Serves the requests of connected callers: admission, routing, execution, response.

mod admission;
mod caller_session;
mod caller_stream;
mod caller_transaction;
mod commit_check;
mod read_path;
mod recorded_path;
mod recorded_resolve;
mod recorded_run;
mod reply_writer;
mod request_end;
mod request_reader;
mod run_context;
mod target_run;
mod transaction_path;
mod write_path;

pub use caller_session::CallerSession;
pub use caller_stream::CallerStream;
pub use caller_transaction::CallerTransaction;
pub use request_end::RequestEnd;
pub use request_reader::RequestReader;
