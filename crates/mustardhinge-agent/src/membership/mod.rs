//! Role and rank assignment among instances. The assignments are hints; no safety
//! property depends on them.

mod agent_role;
mod watch_rank;

pub(crate) use agent_role::{choose_role, find_address, rank_zone};
pub(crate) use watch_rank::{choose_watch_rank, choose_watchers};
