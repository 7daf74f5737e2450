//! What each command does.

mod apply_document;
mod check_document;
mod command_runner;
mod diff_document;
mod document_file;
mod drain_work;
mod explain_route;
mod explain_tables;
mod key_input;
mod show_document;
mod show_status;
mod switch_primary;
mod withdraw_key;

pub use command_runner::run_command;
