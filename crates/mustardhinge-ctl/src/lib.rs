//! Command line for the operators of services: a client of the operator API.

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod report;
