//! Database groups: probes their targets, tracks their primaries and runs
//! failovers and switchovers.

mod claim_record;
mod failover_calls;
mod failover_log;
mod group_context;
mod group_watch;
mod primary_record;
mod switchover_call;
mod switchover_command;
mod target_probe;
mod watch_event;
mod watch_handle;
mod watch_supervisor;

pub(crate) use group_context::GroupContext;
pub(crate) use switchover_call::run_switchover;
pub(crate) use switchover_command::{SwitchoverCommand, SwitchoverError};
pub(crate) use target_probe::ProbeTiming;
pub(crate) use watch_event::WatchEvent;
pub(crate) use watch_handle::{WatchHandle, WatchRegistry};
pub(crate) use watch_supervisor::WatchSupervisor;
