//! Calls of one target, each with a bounded wait, over one kept connection.

mod target_connection;
mod target_error;
mod target_link;

pub(crate) use target_error::TargetError;
pub(crate) use target_link::TargetLink;
