//! Asynchronous replication: replicas read the primary's log over a connection
//! of their own and apply it.

mod entry_applier;
mod entry_receiver;
mod primary_follower;
mod replica_server;
mod replication_message;
mod replication_request;

pub(super) use entry_applier::apply_entries;
pub(super) use primary_follower::follow_primaries;
pub(super) use replica_server::serve_replica;
