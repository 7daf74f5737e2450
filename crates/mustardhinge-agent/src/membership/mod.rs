//! Who does what among the instances: hints that no safety rule rests on.

mod agent_role;
mod watch_rank;

pub(crate) use agent_role::{choose_role, find_address, rank_zone};
pub(crate) use watch_rank::{choose_watch_rank, choose_watchers};
