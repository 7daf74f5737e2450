//! The rows of a target, the locks on them and the log they come from.

mod group_log;
mod log_entry;
mod row_change;
mod row_key;
mod row_locks;
mod row_tables;
mod term_run;

pub use group_log::GroupLog;
pub use log_entry::LogEntry;
pub use row_change::RowChange;
pub use row_key::RowKey;
pub use row_locks::{LockOutcome, RowLocks};
pub use row_tables::RowTables;
pub use term_run::TermRun;
