//! Watches database groups: probes their targets and learns their primaries.

mod group_event;
mod group_watch;
mod target_probe;
mod watch_supervisor;

pub(crate) use target_probe::ProbeTiming;
pub(crate) use watch_supervisor::WatchSupervisor;
