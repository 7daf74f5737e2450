//! Decision logic of the database proxy, without I/O, clocks or unseeded randomness.
//!
//! Functions that depend on the current time take it as an argument, so that tests,
//! trace replay and the production processes run the same code.

pub mod budget;
pub mod connection;
pub mod document;
pub mod drain;
pub mod evacuation;
pub mod explain;
pub mod failover;
pub mod gateway;
pub mod ids;
pub mod key;
pub mod membership;
pub mod outcome;
pub mod overload;
pub mod placement;
pub mod prelude;
pub mod primary_lease;
pub mod queue;
pub mod rate_limit;
pub mod replication;
pub mod request;
pub mod retry;
pub mod routing;
pub mod session;
pub mod units;
