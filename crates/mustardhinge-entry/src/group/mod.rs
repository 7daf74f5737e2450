//! Observed state of a database group: server reports, read floors and
//! acknowledgements.

mod group_command;
mod group_handle;
mod group_snapshot;
mod group_watch;
mod row_columns;
mod target_watch;
mod watch_demand;

pub use group_command::GroupCommand;
pub use group_handle::GroupHandle;
pub use group_snapshot::GroupSnapshot;
pub use group_watch::GroupWatch;
pub(crate) use row_columns::first_row;
pub use target_watch::TargetWatch;
pub use watch_demand::WatchDemand;
