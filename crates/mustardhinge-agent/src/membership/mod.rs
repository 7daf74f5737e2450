//! Who does what among the instances: hints that no safety rule rests on.

mod watch_rank;

pub(crate) use watch_rank::choose_watch_rank;
