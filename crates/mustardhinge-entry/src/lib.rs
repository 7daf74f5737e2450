//! Data path of the database proxy: accepts callers and relays their statements to
//! pooled target connections.

pub mod budget;
pub mod caller;
pub mod control;
pub mod group;
pub mod process;
pub mod request;
pub mod serve;
pub mod statement;
pub mod target;
pub mod wire;
