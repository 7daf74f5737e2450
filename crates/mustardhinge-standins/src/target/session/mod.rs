//! Connections of callers: messages, statements and transactions.

mod answer_fault;
mod answer_messages;
mod client_session;
mod extended_state;
mod link_error;
mod message_link;
mod open_transaction;
mod prepared_statement;
mod reply_rows;
mod session_startup;
mod statement_execution;
mod statement_input;
mod statement_portal;
mod statement_reply;
mod transaction_runner;

pub(super) use client_session::serve_connection;
pub(super) use link_error::LinkError;
pub(super) use message_link::MessageLink;
pub(super) use session_startup::REPLICATION_PARAMETER;
