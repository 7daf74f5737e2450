//! A small database server over the PostgreSQL protocol, one of a group with
//! asynchronous replication.

pub mod member;
pub mod statement;
pub mod storage;

mod cancel_registry;
mod connection_count;
mod replication;
mod session;
mod statement_log;
mod statement_outcome;
mod statement_record;
mod target_builder;
mod target_faults;
mod target_group;
mod target_handle;
mod target_server;
mod target_settings;
mod target_shared;

pub use statement_outcome::RecordedOutcome;
pub use statement_record::StatementRecord;
pub use target_builder::TargetBuilder;
pub use target_faults::TargetFaults;
pub use target_group::TargetGroup;
pub use target_handle::TargetHandle;
pub use target_server::TargetServer;
