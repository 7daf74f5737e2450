//! Settings of one process, read from a TOML file at its start.

mod address_check;
mod agent_settings;
mod budget_policy;
mod entry_settings;
mod settings_file;
mod tls_files;

pub(crate) use address_check::check_address;

pub use agent_settings::AgentSettings;
pub use budget_policy::{BudgetPolicy, BudgetPolicyError};
pub use entry_settings::EntrySettings;
pub use tls_files::TlsFiles;
